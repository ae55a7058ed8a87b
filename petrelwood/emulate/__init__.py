"""Models of the platform, free of sockets: the same pieces run in virtual time and behind the stand-ins."""
