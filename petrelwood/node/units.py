"""The time units of the platform's settings and protocol, in nanoseconds."""

US = 1_000
MS = 1_000_000
