"""The units of time in the settings and the protocol of the platform, in nanoseconds."""

US = 1_000
MS = 1_000_000
