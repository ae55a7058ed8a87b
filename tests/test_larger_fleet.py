"""One dispatcher process with the same traffic in fleets of 36, 576 and 3,200 workers: its use of resources
against the operators' limits, how it gets the list of workers, and that the checks can fail."""

import asyncio
import sys
import unittest
from unittest import mock

from benchmarks.scale import larger_fleet
from benchmarks.scale.larger_fleet import CPU, DESCRIPTORS, FLEETS, LIMITS, LISTS, MADE, MEMORY, SERVED
from petrelwood.node import roster_protocol

DAY = larger_fleet.Day(seconds=3.0, calls_a_second=40.0)
USUAL = {CPU: 1.0, MEMORY: 30.0, DESCRIPTORS: 90, MADE: 80, LISTS: 100.0, SERVED: 0.9}
LONGEST_ANSWER = 8_000  # bytes, the maximum of a DNS answer
# A dispatcher whose scheduler iterates over the whole fleet many times at each call.
ITERATES_OVER_ALL_WORKERS = """
import runpy
from petrelwood.decide.scheduling.scheduler import Scheduler

original = Scheduler.activation_arrived

def activation_arrived(scheduler, now, *arguments):
    for _ in range(100):
        max((worker for worker in scheduler.fleet.usable), key=lambda worker: worker.cold_attempts)
    original(scheduler, now, *arguments)

Scheduler.activation_arrived = activation_arrived
runpy.run_module("petrelwood.node", run_name="__main__")
"""


def play(workers, command=larger_fleet.COMMAND):
    return asyncio.run(larger_fleet.played(workers, DAY, command))


class Limits(unittest.TestCase):
    def test_they_are_the_operators(self):
        found = {what: round(limit.at(USUAL[what], 3_200), 9) for what, limit in LIMITS.items()}
        wanted = {CPU: 1.804, MEMORY: 65.8, DESCRIPTORS: 220, MADE: 240, LISTS: 1_864.0, SERVED: 0.765}
        self.assertEqual(found, wanted)

    def test_each_is_kept_at_the_limit_and_not_beyond_it(self):
        at_limit = {what: limit.at(USUAL[what], 576) for what, limit in LIMITS.items()}
        self.assertTrue(all(one.kept for one in larger_fleet.verdicts(USUAL, at_limit, 576)))
        for what, limit in LIMITS.items():
            beyond = {**at_limit, what: at_limit[what] * (0.999 if limit.least else 1.001)}
            lost = [one.what for one in larger_fleet.verdicts(USUAL, beyond, 576) if not one.kept]
            self.assertEqual(lost, [what])


class Lists(unittest.TestCase):
    """A whole list over 8,000 bytes does not fit a DNS answer. The dispatcher gets it in `known` at its
    start, and the answers are truncated."""

    def answered(self, workers):
        """Return the answer of the discovery stand-in for `workers` workers, and whether it is truncated."""
        asked = b"\x12\x34" + roster_protocol.encode_query()
        discovery, answers = larger_fleet.CountedRoster(), []
        discovery.transport = mock.Mock(sendto=lambda wire, sender: answers.append(wire))
        discovery.entries = {f"s-{n:08x}": (5050, "Ready", "north", 0) for n in range(workers)}
        discovery.datagram_received(asked, None)
        return answers[0], discovery.truncated

    def test_the_usual_list_fits_an_answer(self):
        wire, truncated = self.answered(FLEETS[0])
        self.assertLess(len(wire), LONGEST_ANSWER)
        self.assertFalse(truncated)
        self.assertEqual(len(roster_protocol.decode_answer(wire)[1]), FLEETS[0])

    def test_a_part_of_a_larger_one_is_enough_to_know_that_it_does_not(self):
        """Encoding all 3,200 entries blocks the event loop of clients and workers for a second per change."""
        with mock.patch.object(
            larger_fleet.node_site, "answer", wraps=larger_fleet.node_site.answer
        ) as written:
            for workers in FLEETS:
                self.answered(workers)
        self.assertEqual(
            [len(call.args[2]) for call in written.call_args_list],
            [FLEETS[0], larger_fleet.MOST_WRITTEN, larger_fleet.MOST_WRITTEN],
        )

    def test_a_part_that_fits_is_never_told_as_the_whole(self):
        with mock.patch.object(larger_fleet, "MOST_WRITTEN", FLEETS[0]), self.assertRaises(AssertionError):
            self.answered(FLEETS[0] + 1)

    def test_a_larger_one_does_not_and_what_comes_changes_nothing(self):
        for workers in FLEETS[1:]:
            wire, truncated = self.answered(workers)
            self.assertTrue(truncated)
            with self.assertRaises(roster_protocol.UnusableAnswerError):
                roster_protocol.decode_answer(wire)


class Grown(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.usual = play(FLEETS[0])

    def verdicts(self, workers, command=larger_fleet.COMMAND):
        """Return the larger fleet's `Played`, and the verdicts on its figures that exceed their limits."""
        larger = play(workers, command)
        verdicts = larger_fleet.verdicts(self.usual.figures, larger.figures, workers)
        return larger, [one for one in verdicts if not one.kept]

    def test_the_usual_fleet_is_served_and_hears_of_changes(self):
        self.assertGreater(self.usual.figures[SERVED], 0.9)
        self.assertEqual((self.usual.listed, self.usual.truncated), (FLEETS[0], False))
        self.assertEqual(self.usual.unanswered, 0)

    def test_it_needs_no_more_than_the_limits(self):
        for workers in FLEETS[1:]:
            with self.subTest(workers):
                larger, beyond = self.verdicts(workers)
                self.assertEqual(beyond, [])
                self.assertEqual((larger.listed, larger.truncated), (workers, True))
                self.assertEqual(larger.unanswered, 0)

    def test_a_module_that_looks_at_everybody_at_each_call_is_seen(self):
        _, beyond = self.verdicts(FLEETS[-1], (sys.executable, "-c", ITERATES_OVER_ALL_WORKERS))
        self.assertIn(CPU, [one.what for one in beyond])


if __name__ == "__main__":
    unittest.main()
