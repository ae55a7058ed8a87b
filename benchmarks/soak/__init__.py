"""A soak test of restarts: ends whole dispatchers under load over many seeds and checks what their peers saw.

`plan` draws the scenario of a seed, `peers` has the workers and the roster, `clients` the callers, `play`
runs one seed, `records` holds what all of them observed, and `judge` checks that against the rules of the
platform's protocol.
"""
