"""Crash-safe storage: append-only logs with checksums, snapshots, and the history in Parquet files."""
