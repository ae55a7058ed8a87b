"""Unit tests of the webhook front: statuses, patience, targets, unread answers."""

import types
import unittest

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import intake
from petrelwood.decide.overload.admission import ConnectionAdmission
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.unread_answers import UnreadAnswers
from petrelwood.fronts.webhook_answer import response_to
from petrelwood.fronts.webhook_call import WebhookRejectedError, parse_target, preferred_wait


class Answers(unittest.TestCase):
    def test_each_final_outcome_has_a_status(self):
        not_final = {intake.Outcome.ADMIT, intake.Outcome.JOIN}
        for outcome in intake.Outcome:
            if outcome not in not_final:
                with self.subTest(outcome):
                    self.assertIsInstance(response_to(outcome, b"", 0, "", None).status, HttpStatus)
        ends = (ActivationState.COMPLETED, ActivationState.REJECTED, ActivationState.ABORTED)
        statuses = [response_to(outcome, b"", 0, "", "a1").status.code for outcome in ends]
        self.assertEqual(statuses, [200, 503, 504])

    def test_only_a_rejection_says_when_to_retry(self):
        for outcome, status in ((intake.Outcome.REJECT, 503), (intake.Outcome.CONFLICT, 409)):
            response = response_to(outcome, b"", 1_500_000_000, "", None)
            self.assertEqual(response.status.code, status)
            self.assertEqual(b"Retry-After: 2\r\n" in response.encode(False), status == 503)

    def test_a_customer_over_its_quota_is_told_so_by_the_status(self):
        response = response_to(intake.REJECT, b"", 1, intake.RejectionReason.OVER_QUOTA, None)
        self.assertEqual(response.status, 429)


class Requests(unittest.TestCase):
    def test_patience(self):
        for header, seconds in (
            (b"", 0),
            (b"respond-async", 0),
            (b"wait=5", 5),
            (b'respond-async, Wait = "7"; x=1', 7),
            (b"wait=1, wait=2", 1),
        ):
            self.assertEqual(preferred_wait(header), seconds, header)
        for header in (b"wait", b"wait=", b"wait=0", b"wait=-1", b"wait=1.5", b"wait=%d" % (1 << 31)):
            with self.subTest(header), self.assertRaises(WebhookRejectedError) as caught:
                preferred_wait(header)
            self.assertEqual(caught.exception.status, HttpStatus.BAD_REQUEST)

    def test_targets(self):
        request = types.SimpleNamespace(method=b"POST", url=b"/hooks/x/again-1?a=b/c")
        self.assertEqual(parse_target(request), ("x", "again-1"))
        for method, url, status in (
            (b"POST", b"/hooks/x", 404),
            (b"POST", b"/hook/x/again-1", 404),
            (b"POST", b"/hooks/x/again-1/", 404),
            (b"POST", b"/hooks/x/\xc3\xa4", 404),
            (b"PUT", b"/hooks/x/again-1", 405),
            (b"PUT", b"/elsewhere", 404),  # the path is checked first
        ):
            with self.subTest(url), self.assertRaises(WebhookRejectedError) as caught:
                parse_target(types.SimpleNamespace(method=method, url=url))
            self.assertEqual(caught.exception.status.code, status)


class Unread(unittest.TestCase):
    def setUp(self):
        self.admission = ConnectionAdmission(10, 0, 1000, lambda: 0.5)
        self.unread = UnreadAnswers(self.admission, lambda: 0, "127.0.0.1", 1_000_000_000)

    def test_bytes_are_reserved_until_they_are_read(self):
        self.assertFalse(self.unread)
        self.assertTrue(self.unread.add(300) and self.unread.add(200))
        self.assertEqual((bool(self.unread), self.admission.reserved_bytes), (True, 500))
        self.unread.oldest_read()
        self.assertEqual(self.admission.reserved_bytes, 200)
        self.unread.release()
        self.assertEqual((bool(self.unread), self.admission.reserved_bytes), (False, 0))

    def test_one_too_many_reserves_nothing(self):
        self.assertFalse(self.unread.add(2000))
        self.assertEqual((bool(self.unread), self.admission.reserved_bytes), (True, 0))
        self.unread.release()
        self.assertEqual(self.admission.reserved_bytes, 0)

    def test_the_deadline_is_that_of_the_oldest(self):
        self.assertFalse(self.unread.is_overdue(1 << 62))
        self.unread.add(1)
        self.assertFalse(self.unread.is_overdue(0))
        self.assertTrue(self.unread.is_overdue(1 << 62))


if __name__ == "__main__":
    unittest.main()
