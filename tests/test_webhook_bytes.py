"""The exact bytes of each kind of answer of the webhook front, for requests that the test writes itself.

Activation ids and the random part of `Retry-After` are masked; everything else is compared unchanged. An id
has more digits the longer the machine is up, so the length of a body with an id is that of the masked body.
"""

import asyncio
import re
import unittest

from kept import compare
from rig import Case, Worker, later, never, says
from tornado.iostream import StreamClosedError

ACTIVATION = re.compile(rb"d-[0-9a-f]+-[0-9a-f]+-[0-9a-z]+")
RETRY_AFTER = re.compile(rb"Retry-After: \d+")
CONTENT_LENGTH = re.compile(rb"Content-Length: (\d+)")


def masked(data):
    """Return the answers with masked ids. Bodies are split by Content-Length, to detect a wrong length."""
    found = b""
    while data:
        head, end, rest = data.partition(b"\r\n\r\n")
        content_length = CONTENT_LENGTH.search(head)
        length = int(content_length[1]) if content_length else 0
        body, data = rest[:length], rest[length:]
        masked_body = ACTIVATION.sub(b"ACT", body)
        if masked_body != body:
            head = CONTENT_LENGTH.sub(b"Content-Length: %d" % (length - len(body) + len(masked_body)), head)
        found += ACTIVATION.sub(b"ACT", head) + end + masked_body
    return RETRY_AFTER.sub(b"Retry-After: N", found)


class Bytes(Case):
    """Each request is sent on its own connection, which is read until all answers have arrived."""

    async def begin(self, *workers, **more):
        await super().begin(*workers, **more)
        self.lines = []

    async def exchange(self, name, data, answers=1):
        """Record all answers to `data`, and whether the connection was closed after them."""
        stream = await self.caller.connect()
        await stream.write(data)
        got, end = b"", "open"
        try:
            while not self.complete(got, answers):
                got += await asyncio.wait_for(stream.read_bytes(65536, partial=True), 30)
            # after Connection: close the connection is closed soon; on any other no more data may arrive
            more = 30 if b"\r\nConnection: close\r\n" in got else 0.05
            got += await asyncio.wait_for(stream.read_bytes(65536, partial=True), more)
        except TimeoutError:
            pass
        except StreamClosedError:
            end = "closed"
        stream.close()
        self.lines.append(f"== {name}, {end}")
        self.lines.extend(repr(line)[2:-1] for line in masked(got).split(b"\r\n"))

    @staticmethod
    def complete(got, answers):
        """Return whether this number of final answers has arrived, the last with its body."""
        head, end, body = got.rpartition(b"\r\n\r\n")
        length = CONTENT_LENGTH.findall(head)
        return bool(end) and len(length) >= answers and len(body) >= int(length[-1])

    def test_a_wrong_length_shows(self):
        body = b'{"instance":"urn:activation:d-60a2420a441c0-88601c0-9"}'
        head = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: %d\r\n\r\n"
        right = masked(head % len(body) + body)
        self.assertEqual(right, head % 33 + b'{"instance":"urn:activation:ACT"}')
        for wrong in (len(body) - 1, len(body) + 1):
            self.assertNotEqual(masked(head % wrong + body), right)

    async def test_each_answer(self):
        await self.begin(Worker("w1"))
        good = self.message(id_="good")
        for name, data in (
            ("completed", good),
            ("the last of its connection", good.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)),
            ("HTTP/1.0", good.replace(b"HTTP/1.1", b"HTTP/1.0", 1)),
            ("no hook", self.message(path="/hooks/x")),
            ("not posted", good.replace(b"POST", b"GET", 1)),
            ("not ASCII", good.replace(b"/again-1", b"/again-\xc3\xa4", 1)),
            ("a body of another type", self.message(Content_Type="image/png")),
            ("no id", self.message(webhook_id=None)),
            ("a malformed timestamp", self.message(webhook_timestamp="soon")),
            ("a long id", self.message(id_="i" * 300)),
            ("too old", self.message(stamp=self.stamp - 1000)),
            ("another's signature", self.message(webhook_signature="v1,AAAA")),
            ("an unknown customer", self.message(path="/hooks/y/again-1")),
            ("an unknown function", self.message("unknown")),
            ("malformed patience", self.message(Prefer="wait=never")),
            ("no HTTP", b"\x16\x03\x01\x02\x00 hello\r\n\r\n"),
            ("another protocol", good.replace(b"\r\n", b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n", 1)),
            ("a long body", self.message(body=b"x" * 30_000)),
            ("a long chunked body", self.chunked(b"x" * 30_000)),
            ("a chunked body", self.chunked(b"{}")),
            ("a long head", self.message(X_Large="y" * 3000)),
            ("too slow a head", b"POST /hooks/x/again-1 HTTP/1.1\r\nHost: a\r\nX-Slow: "),
            ("too slow a body", good[:-1]),
            ("continue", good.replace(b"\r\n", b"\r\nExpect: 100-continue\r\n", 1)),
            ("two in a row", self.message(id_="one") + self.message("unknown", id_="two")),
            ("garbage behind a request", self.message(id_="three") + b"\x00\x00\r\n\r\n"),
        ):
            two = name in ("another protocol", "two in a row", "garbage behind a request")
            await self.exchange(name, data, 1 + two)
        compare(self, "webhook_answers", self.lines)

    def chunked(self, body):
        head, _, _ = self.message(id_=f"c{len(body)}", body=body).partition(b"\r\n\r\n")
        head = re.sub(rb"(?i)content-length: \d+", b"Transfer-Encoding: chunked", head)
        return head + b"\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)

    async def test_each_end_of_an_activation(self):
        def by_function(worker, stream, msgid, params):
            ends = {"once-never": never, "once-error": says("error"), "once-late": later(0.4)}
            ends.get(params[2], later(0))(worker, stream, msgid, params)

        await self.begin(Worker("w1", by_function), limits='body "20KB"; held 1')
        await self.exchange("aborted", self.message("once-error"))
        await self.exchange("out of time", self.message("once-never", Prefer="wait=1"))
        replayed = self.message("again-1", id_="replayed")
        await self.exchange("first", replayed)
        await self.exchange("replayed", replayed)
        held = asyncio.ensure_future(self.post("once-late"))
        await self.until(lambda: self.core.intake.unanswered == 1)
        await self.exchange("no room", self.message())
        await held
        self.core.intake.closing = True
        await self.exchange("closing", self.message())
        compare(self, "webhook_ends", self.lines)

    async def test_a_connection_too_many_and_a_ban(self):
        await self.begin(Worker("w1"), limits="connections 2")
        first = [await self.caller.connect() for _ in range(2)]
        await self.until(lambda: self.front.admission.open == 2)
        await self.exchange("a connection too many", b"")
        for stream in first:
            stream.close()
        await self.asyncTearDown()
        lines = self.lines
        await self.begin(Worker("w1"))
        self.lines = lines
        self.front.admission.may_check_signature = lambda now, name: False
        await self.exchange("banned", self.message())
        compare(self, "webhook_limits", self.lines)


if __name__ == "__main__":
    unittest.main()
