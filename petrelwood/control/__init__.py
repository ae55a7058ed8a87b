"""The configuration servers: a replicated log of versions of the settings, on machines set aside for
control."""
