"""A stand-in roster: pushes the state of workers (usable, draining or gone) by server-sent events.

A script may delay the events. Changes of workers arrive on standard input, one JSON object per line: an entry
as `decide.cluster.membership.decode_endpoint` reads it.
"""

import asyncio
import time
from collections import deque

import orjson
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.links import sse
from petrelwood.standins import host
from petrelwood.standins.records import Records

# the changes kept for readers that resume; the seconds between comments that keep a connection alive
KEPT_CHANGES, COMMENT_INTERVAL = 256, 1.0


class ChangeLog:
    """The list of workers and its last changes, from which a reader gets what it lacks.

    Entries are as `decide.cluster.membership.decode_endpoint` reads them. A reader that resumes names the
    last change it has as `EPOCH-NUMBER`.
    """

    def __init__(self, epoch, kept=KEPT_CHANGES):
        self.epoch, self.number, self.entries = epoch, 0, {}
        self.changes = deque(maxlen=kept)  # (number, entry)

    def take(self, entry):
        """Apply a changed entry, and return the number of the change."""
        self.number += 1
        self.entries[entry["worker"]] = entry
        if entry["state"] == "gone":
            del self.entries[entry["worker"]]
        self.changes.append((self.number, entry))
        return self.number

    def after(self, resume):
        """Return [(kind, entries, number)], the first events for a reader whose last event is `resume`.

        They are the changes that it missed, or the whole list if those are no longer kept.
        """
        epoch, _, number = resume.rpartition("-")
        if epoch == self.epoch and number.isdigit():
            missed = [("change", [entry], n) for n, entry in self.changes if n > int(number)]
            if int(number) == self.number or missed and missed[0][2] == int(number) + 1:
                return missed
        return [("list", list(self.entries.values()), self.number)]

    def event(self, kind, entries, number):
        """Return the bytes of an event."""
        return sse.event(kind, orjson.dumps(entries).decode(), f"{self.epoch}-{number}")


class Roster(TCPServer):
    """Serves the list of workers to dispatchers; `streams` maps their connections to their user agents."""

    def __init__(self, day, records):
        super().__init__()
        self.log, self.streams = ChangeLog(f"{time.time_ns():x}"), {}
        self.late, self.closed, self.records = day.roster_late, False, records

    async def handle_stream(self, stream, address):
        """Serve events on one connection until it ends."""
        try:
            head = (await stream.read_until(b"\r\n\r\n", max_bytes=16_000)).decode("latin-1")
            if self.closed:
                stream.close()
                return
            resume = next(
                (
                    line.split(":", 1)[1].strip()
                    for line in head.split("\r\n")
                    if line.lower().startswith("last-event-id:")
                ),
                "",
            )
            await stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            )
            agent = next(
                (
                    line.split(":", 1)[1].strip()
                    for line in head.split("\r\n")
                    if line.lower().startswith("user-agent:")
                ),
                "?",
            )
            for kind, entries, number in self.log.after(resume):
                await self.push(stream, agent, kind, entries, number)
            self.streams[stream] = agent
            while not stream.closed():
                await stream.write(b": alive\n\n")
                await asyncio.sleep(COMMENT_INTERVAL)
        except (StreamClosedError, asyncio.IncompleteReadError):
            pass
        finally:
            self.streams.pop(stream, None)
            stream.close()

    def push(self, stream, to, kind, entries, number):
        """Record an event and send it."""
        self.records.put(
            "told", to=to, entries=[(e["worker"], e["state"], e["booted"]) for e in entries], kind=kind
        )
        return stream.write(self.log.event(kind, entries, number))

    def news(self, entry):
        """Apply a change after the delay that the script has set."""
        asyncio.get_running_loop().call_later(self.late / 1e9, self.change, entry)

    def change(self, entry):
        """Apply a change at once, and push it to all readers."""
        number = self.log.take(entry)
        for stream, to in list(self.streams.items()):
            # a reader whose connection was just lost gets nothing, so no `told` may be recorded for it
            if not stream.closed():
                self.push(stream, to, "change", [entry], number).add_done_callback(
                    lambda done: done.exception()
                )

    def lose(self, trouble):
        """Close all connections and refuse new ones."""
        self.closed = True
        for stream in list(self.streams):
            stream.close()

    def troubles(self):
        """Return the handlers for `host.schedule_troubles`."""
        return {
            "roster-late": (
                lambda t: setattr(self, "late", self.late + t.what["by"]),
                lambda t: setattr(self, "late", self.late - t.what["by"]),
            ),
            "roster-lost": (self.lose, lambda t: setattr(self, "closed", False)),
        }


async def serve(day, listen, folder):
    """Run the roster until a signal."""
    records = Records(folder, "roster")
    roster = Roster(day, records)

    def on_message(message):
        if "start" in message:  # the day begins
            host.schedule_troubles(day, message["start"], roster.troubles())
        elif message.pop("now", False):
            roster.change(message)
        else:
            roster.news(message)

    operator = asyncio.ensure_future(host.listen_to_operator(on_message))
    roster.add_sockets(sockets := bind_sockets(listen[1], listen[0]))
    host.announce_ready(sockets[0].getsockname()[:2])
    await host.wait_for_signal()
    operator.cancel()
    records.close()
