"""The configuration servers: a replicated log of versions of the settings, on machines of their own."""
