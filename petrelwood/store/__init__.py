"""Storage that survives crashes: an append-only tail with checksums, and the history of use in columns."""
