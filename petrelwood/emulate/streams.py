"""Random streams of the emulator: one per purpose, so that a change of policy does not change the traffic.

Each is numpy's PCG64, seeded by the day's seed and the purpose. Values are drawn in blocks, which is faster
than one by one.
"""

import zlib

import numpy

BLOCK = 4096


class Stream:
    """The random stream of one purpose."""

    def __init__(self, seed, purpose):
        sequence = numpy.random.SeedSequence([seed & 0xFFFFFFFF, zlib.crc32(purpose.encode())])
        self.random_state = numpy.random.Generator(numpy.random.PCG64(sequence))
        self.uniforms, self.exponentials, self.normals = [], [], []

    def uniform(self):
        if not self.uniforms:
            self.uniforms = self.random_state.random(BLOCK).tolist()
        return self.uniforms.pop()

    random = uniform  # the name that `random.Random` has for it

    def exponential(self, mean):
        if not self.exponentials:
            self.exponentials = self.random_state.standard_exponential(BLOCK).tolist()
        return mean * self.exponentials.pop()

    def lognormal(self, mean, sigma):
        """Draw from the log-normal distribution of this mean; `sigma` does not change the mean."""
        if not self.normals:
            self.normals = self.random_state.standard_normal(BLOCK).tolist()
        return mean * 2.718281828459045 ** (sigma * self.normals.pop() - sigma * sigma / 2)

    def below(self, count):
        return int(self.uniform() * count)

    def pick(self, items):
        return items[int(self.uniform() * len(items))]
