"""The search over all orders of events finds no violation; models with a flaw show that it finds one."""

import unittest

from petrelwood import ports
from petrelwood.lab import walk


class Searched(unittest.TestCase):
    def test_whatever_comes_in_whatever_order_the_rules_hold(self):
        for effect in walk.KINDS:
            for durability in ("process", "machine"):
                seen, found, whole = walk.search(effect, durability)
                self.assertIsNone(found, (effect, durability, found))
                self.assertTrue(whole)
                self.assertGreater(seen, 1000)

    def test_two_kills_in_a_row(self):
        _, found, whole = walk.search(ports.Effect.ONCE_ONLY, "process", asks=2, kills=2)
        self.assertEqual((found, whole), (None, True))

    def test_a_flawed_world_is_found_by_its_shortest_way(self):
        for flaw, way in (
            ("no log", "ask, send, run 1.1, kill, start, ask, send, run 2.2"),
            ("late log", "ask, send, run 1.1, kill, start, ask, send, run 2.2"),
            ("falls", "ask, log, send, run 1.1, fall, start, ask, log, send, run 2.2"),
        ):
            _, found, _ = walk.search(ports.Effect.ONCE_ONLY, "process", flaw=flaw)
            self.assertEqual((found.what, ", ".join(found.steps)), ("ran twice", way), flaw)
        _, found, _ = walk.search(ports.Effect.ONCE_ONLY, "machine", flaw="forgets")
        self.assertEqual(found.what, "ran twice")


if __name__ == "__main__":
    unittest.main()
