"""A stand-in roster: pushes who is usable, draining or gone by server-sent events, late by script.

News of workers comes on standard input, a JSON object a line: an entry as
`decide.cluster.membership.decode_endpoint` reads it."""

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

KEPT, COMMENT_INTERVAL = 256, 1.0  # changes kept for those that resume; seconds between comments


class ChangeLog:
    """The list of workers and its last changes, from which each reader is told what it lacks. Entries are as
    `decide.cluster.membership.decode_endpoint` reads them; a reader names what it has as `EPOCH-NUMBER`."""

    def __init__(self, epoch, kept=KEPT):
        self.epoch, self.number, self.entries = epoch, 0, {}
        self.changes = deque(maxlen=kept)  # (number, entry)

    def take(self, entry):
        """One entry has changed; the number of the change."""
        self.number += 1
        self.entries[entry["worker"]] = entry
        if entry["state"] == "gone":
            del self.entries[entry["worker"]]
        self.changes.append((self.number, entry))
        return self.number

    def after(self, resume):
        """[(kind, entries, number)]: what a reader that has heard up to `resume` is told first."""
        epoch, _, number = resume.rpartition("-")
        if epoch == self.epoch and number.isdigit():
            missed = [("change", [entry], n) for n, entry in self.changes if n > int(number)]
            if int(number) == self.number or missed and missed[0][2] == int(number) + 1:
                return missed
        return [("list", list(self.entries.values()), self.number)]

    def event(self, kind, entries, number):
        """The bytes that tell it."""
        return sse.event(kind, orjson.dumps(entries).decode(), f"{self.epoch}-{number}")


class Roster(TCPServer):
    def __init__(self, day, records):
        super().__init__()
        self.log, self.streams = ChangeLog(f"{time.time_ns():x}"), {}
        self.late, self.closed, self.records = day.roster_late, False, records

    async def handle_stream(self, stream, address):
        try:
            head = (await stream.read_until(b"\r\n\r\n", max_bytes=16_000)).decode("latin-1")
            if self.closed:
                stream.close()
                return
            after = next(
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
            for kind, entries, number in self.log.after(after):
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
        self.records.put(
            "told", to=to, entries=[(e["worker"], e["state"], e["booted"]) for e in entries], kind=kind
        )
        return stream.write(self.log.event(kind, entries, number))

    def news(self, entry):
        asyncio.get_running_loop().call_later(self.late / 1e9, self.change, entry)

    def change(self, entry):
        number = self.log.take(entry)
        for stream, to in list(self.streams.items()):
            # one that was just lost hears nothing, and must not count as told
            if not stream.closed():
                self.push(stream, to, "change", [entry], number).add_done_callback(
                    lambda done: done.exception()
                )

    def lose(self, trouble):
        self.closed = True
        for stream in list(self.streams):
            stream.close()

    def troubles(self):
        return {
            "roster-late": (
                lambda t: setattr(self, "late", self.late + t.what["by"]),
                lambda t: setattr(self, "late", self.late - t.what["by"]),
            ),
            "roster-lost": (self.lose, lambda t: setattr(self, "closed", False)),
        }


async def serve(day, listen, folder):
    records = Records(folder, "roster")
    roster = Roster(day, records)

    def hear(said):
        if "start" in said:  # the day begins
            host.play(day, said["start"], roster.troubles())
        elif said.pop("now", False):
            roster.change(said)
        else:
            roster.news(said)

    hearing = asyncio.ensure_future(host.listen_to_operator(hear))
    roster.add_sockets(sockets := bind_sockets(listen[1], listen[0]))
    host.ready(sockets[0].getsockname()[:2])
    await host.until_told()
    hearing.cancel()
    records.close()
