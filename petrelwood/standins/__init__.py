"""Stand-ins for what others run: workers, store, roster, portal. Each is a process with a seed."""
