"""The decision module: placement, admission, retries and load orders of one dispatcher, free of I/O."""
