"""Judges a run by the five rules, from what the stand-ins saw on their sockets alone."""
