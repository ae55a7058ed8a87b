"""What the program decides outside the module: free of I/O, the clock handed in as whole nanoseconds."""
