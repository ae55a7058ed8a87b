"""The scheduler: placement, admission, retries and load orders of one dispatcher, free of I/O."""
