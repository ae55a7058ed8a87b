"""Receives activations; translates between the protocols of clients and the terms of the core."""
