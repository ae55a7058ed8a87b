"""All decisions of the program, free of I/O; the clock is handed in as whole nanoseconds."""
