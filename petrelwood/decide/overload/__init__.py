"""Overload control: limits, deadlines, backoff and the detection of storms of requests."""
