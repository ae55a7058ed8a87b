"""All decisions of the program, free of I/O; the caller passes the time in as integer nanoseconds."""
