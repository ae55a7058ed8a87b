"""Links to workers and to the roster."""
