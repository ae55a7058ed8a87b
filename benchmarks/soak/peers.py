"""The workers and rosters of a soak test, based on the stand-ins of the tests."""

import asyncio
import json
import pathlib
import random
import sys
import time

from benchmarks.soak.plan import WorkerTrouble
from benchmarks.soak.records import Arrival

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tests"))
import hostile_clients
import node_site
import rig
from free_ports import free_port

__all__ = [
    "CLOSE_INTERVAL",
    "SoakRoster",
    "SoakWorker",
    "error_lines",
    "free_port",
    "hostile_clients",
    "node_site",
    "rig",
]
CLOSE_INTERVAL = 0.1  # s between two times at which a worker closes its connections


class SoakWorker(node_site.Worker):
    """A worker that records incoming requests and can be made to misbehave."""

    def __init__(self, name: str, seed: int, service_time: float, arrivals: list[Arrival]) -> None:
        super().__init__(name, self._answer)
        self.service_time = service_time
        self.arrivals = arrivals
        self.chance = random.Random(f"soak/{seed}/{name}")
        self.trouble = WorkerTrouble.NONE

    async def _line(self, said, writer):
        if said["type"] == "FN":
            executed = said["meta"]["asset"] in self.copies
            self.arrivals.append(Arrival(said["req"], self.name, time.monotonic(), executed))
        if self.trouble is WorkerTrouble.HANG and said["type"] != "FN":
            return
        await super()._line(said, writer)

    async def _answer(self, worker, said, writer):
        if self.trouble is WorkerTrouble.HANG:
            return b""
        await asyncio.sleep(self.chance.expovariate(1 / self.service_time))
        return b"" if self.trouble is WorkerTrouble.HANG else None

    async def make_trouble(self, trouble: WorkerTrouble) -> None:
        """Misbehave until cancelled."""
        self.trouble = trouble
        while trouble is WorkerTrouble.CLOSE:
            for stream in list(self.streams):
                stream.close()
            await asyncio.sleep(CLOSE_INTERVAL)

    async def close(self) -> None:
        """Stop listening, and close the open connections."""
        self.trouble = WorkerTrouble.HANG
        await super().close()


class SoakRoster(node_site.Roster):
    """A roster that records when it first sent that a worker is draining."""

    def __init__(self, drains: dict[str, float]) -> None:
        super().__init__()
        self.drains = drains

    def datagram_received(self, data, sender):
        super().datagram_received(data, sender)
        for worker, (_, state, _, _) in self.entries.items():
            if state != "Ready":
                self.drains.setdefault(worker, time.monotonic())


def error_lines(log: list[str]) -> list[str]:
    """Return the lines of a log that have the level "error" or are not valid log lines."""
    found = []
    for line in log:
        try:
            level = json.loads(line)["level"]
        except (ValueError, KeyError, TypeError):
            found.append(line)
            continue
        if level == "error":
            found.append(line)
    return found
