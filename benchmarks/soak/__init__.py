"""A soak of restarts: whole dispatchers are ended under load over many seeds, and judged by what others saw.

`plan` draws what a seed plays, `peers` are the workers and the roster, `clients` the callers, `play` runs one
seed, `records` is what all of them saw, and `judge` holds that against the rules of the platform's protocol.
"""
