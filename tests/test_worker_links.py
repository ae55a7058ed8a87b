"""Which workers get a link when the endpoint list changes."""

import unittest
from unittest import mock

from petrelwood.dispatch.worker_links import WorkerLinks
from petrelwood.ports import EndpointEntry


class Changes(unittest.TestCase):
    def connect(self, address):
        """Return the links after a change that lists a new, usable worker at `address`."""
        links = WorkerLinks(lambda worker, address: mock.Mock(address=address))
        entry = EndpointEntry("w1", "zone", 0, 0, usable=True)
        links.connect([entry], mock.Mock(address_of=lambda worker: address))
        return links

    def test_a_new_worker_gets_a_link_to_its_address(self):
        """Guards against a listed worker that is never used."""
        self.assertEqual(self.connect(("127.0.0.1", 1))["w1"].address, ("127.0.0.1", 1))

    def test_one_that_is_gone_by_now_gets_none(self):
        """Guards against a link without an address, whose first call would raise an unexpected error."""
        self.assertEqual(self.connect(None), {})


if __name__ == "__main__":
    unittest.main()
