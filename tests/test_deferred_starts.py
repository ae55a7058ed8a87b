"""An activation starts once its client has been read to the end; if its data does not end, it is rejected."""

import unittest

from petrelwood.node.deferred_starts import MAX_DEFERRAL, DeferredStarts
from petrelwood.node.read_progress import ReadProgress


class Client:
    """A connection that may hold unread data, as the test says."""

    def __init__(self):
        self.progress, self.unread = ReadProgress(), True

    def may_have_departed(self):
        return self.unread


class Core:
    """Records what happens to activations."""

    def __init__(self):
        self.time, self.ends = 0, []

    def now(self):
        return self.time

    def start_activation(self, activation_id):
        self.ends.append(f"start {activation_id}")

    def reject_activation(self, activation_id):
        self.ends.append(f"reject {activation_id}")


class Starts(unittest.TestCase):
    def setUp(self):
        self.core, self.client = Core(), Client()
        self.starts = DeferredStarts(self.core)

    def read(self, backlog):
        self.client.progress.note_read(backlog)
        self.starts.check_client(self.client)

    def test_at_once_when_nothing_is_unread(self):
        self.client.unread = False
        self.starts.add(self.client, "a")
        self.read(backlog=False)
        self.assertEqual(self.core.ends, ["start a"])

    def test_not_behind_short_reads_that_a_full_one_follows(self):
        """Guards against taking two short reads for the end, wherever they come."""
        self.starts.add(self.client, "a")
        for backlog in (False, True, False, True, True, False):
            self.read(backlog)
        self.assertEqual(self.core.ends, [])
        self.read(backlog=False)
        self.assertEqual(self.core.ends, ["start a"])

    def test_later_requests_wait_for_later_reads(self):
        self.starts.add(self.client, "a")
        self.read(backlog=False)
        self.starts.add(self.client, "b")
        self.read(backlog=False)
        self.assertEqual(self.core.ends, ["start a"])
        self.read(backlog=False)
        self.assertEqual(self.core.ends, ["start a", "start b"])

    def test_a_client_whose_data_does_not_end_is_rejected(self):
        self.starts.add(self.client, "a")
        self.core.time = MAX_DEFERRAL // 2
        self.starts.add(self.client, "b")
        self.core.time = MAX_DEFERRAL + 1
        self.starts.check()
        self.assertEqual(self.core.ends, ["reject a"])
        self.core.time *= 2
        self.starts.check()
        self.assertEqual(self.core.ends, ["reject a", "reject b"])

    def test_nothing_starts_for_a_client_that_has_gone(self):
        self.starts.add(self.client, "a")
        self.starts.forget(self.client)
        self.client.unread = False
        self.starts.check()
        self.assertEqual(self.core.ends, [])


if __name__ == "__main__":
    unittest.main()
