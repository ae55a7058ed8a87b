"""Stand-ins for the services around the gateway, such as workers, store, roster and portal.

Each runs as a process of its own; those that draw at random take a seed.
"""
