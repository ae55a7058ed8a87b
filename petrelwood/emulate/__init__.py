"""Models of the platform without sockets, which run in virtual time and also behind the stand-ins."""
