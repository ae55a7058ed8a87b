"""Checks a run against the five rules, only from what the stand-ins recorded on their sockets."""
