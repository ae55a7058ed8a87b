"""Worker membership and links, handover, shutdown, and the replicated log and roll-out of configurations."""
