"""Membership of workers, links to them, and how a process starts, changes its settings and stops."""
