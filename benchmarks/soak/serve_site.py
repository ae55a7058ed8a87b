"""A `petrelwood serve` process with MessagePack-RPC workers, a server-sent events roster, and webhooks."""

import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

from benchmarks.soak.peers import CLOSE_INTERVAL, free_port, rig
from benchmarks.soak.plan import Plan, WorkerTrouble
from benchmarks.soak.records import Arrival, Play
from benchmarks.soak.webhook_clients import TYPES, WebhookClient

ROOT = pathlib.Path(__file__).parents[2]
START_TIMEOUT = 60  # s
COMMAND = (sys.executable, "-m", "petrelwood.cli")
USUAL_TIMES = 'target-latency "500ms"; action-timeout "2s"'  # of each namespace type in the stand-in's file


class ServeWorker(rig.Worker):
    """A worker that records incoming requests and can be made to misbehave."""

    def __init__(self, name: str, plan: Plan, arrivals: list[Arrival]) -> None:
        super().__init__(name, self._run)
        self.arrivals = arrivals
        self.service_time = plan.service_time
        self.chance = random.Random(f"soak/{plan.seed}/{name}")
        self.trouble = WorkerTrouble.NONE

    def _run(self, worker, stream, message_id, params):
        _, request_id = params[3].split("/", 1)
        self.arrivals.append(Arrival(request_id, self.name, time.monotonic(), True))
        delay = self.chance.expovariate(1 / self.service_time)
        asyncio.get_running_loop().call_later(delay, self._answer, stream, message_id, params)

    def _answer(self, stream, message_id, params):
        if self.trouble is not WorkerTrouble.HANG:
            rig.answer(self, stream, message_id, params)

    async def make_trouble(self, trouble: WorkerTrouble) -> None:
        """Misbehave until cancelled."""
        self.trouble = trouble
        while trouble is WorkerTrouble.CLOSE:
            for stream in self.streams:
                stream.close()
            self.streams.clear()
            await asyncio.sleep(CLOSE_INTERVAL)


class ServeSite:
    """The dispatcher and its peers of one play."""

    client_class = WebhookClient

    def __init__(self, plan: Plan, command=None) -> None:
        self.plan = plan
        self.command = command or COMMAND
        self.play = Play()
        self.log = self.play.log
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.workers = [ServeWorker(f"w{n}", plan, self.play.arrivals) for n in range(plan.workers)]
        self.roster = rig.Roster()
        self.address = ("127.0.0.1", free_port())
        self.process: asyncio.subprocess.Process | None = None
        self.successor: asyncio.subprocess.Process | None = None
        self.readers: list[asyncio.Task] = []

    async def __aenter__(self):
        sock, self.roster_port = rig.bind_unused_port()
        self.roster.add_sockets([sock])
        self.roster.entries = [worker.entry() for worker in self.workers]
        self.write()
        self.process = await self._start("serve")
        if not self.plan.early:
            await self._ready(self.process)
        return self

    async def __aexit__(self, *_):
        for process in (self.process, self.successor):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        await asyncio.gather(*self.readers)
        for worker in self.workers:
            worker.stop()
            for stream in worker.streams:
                stream.close()
        self.roster.stop()
        for stream in self.roster.streams:
            stream.close()
        self.temporary.cleanup()

    async def _start(self, what: str) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            *self.command,
            what,
            str(self.folder / "g.kdl"),
            cwd=ROOT,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.readers.append(asyncio.ensure_future(self._read_log(process.stderr)))
        return process

    async def _read_log(self, stream) -> None:
        while line := await stream.readline():
            self.log.append(line.decode())

    async def _ready(self, process) -> None:
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT)
        if b"ready" not in line:
            await process.wait()
            raise AssertionError(f"the dispatcher did not become ready; end of its log: {self.log[-5:]}")

    def write(self) -> None:
        """Write the settings file atomically."""
        plan = self.plan
        text = rig.FILE.format(
            roster=self.roster_port,
            key=rig.KEY,
            limits=f'body "20KB"; connections {plan.descriptors}',
            workers="",
        ).replace("127.0.0.1:0", "{}:{}".format(*self.address))
        for name, deadline in zip(TYPES, plan.deadlines, strict=True):
            milliseconds = int(deadline * 1000)
            target_latency = min(500, milliseconds // 2)
            times = f'target-latency "{target_latency}ms"; action-timeout "{milliseconds}ms"'
            text = text.replace(f'"{name}" {{ {USUAL_TIMES}', f'"{name}" {{ {times}')
        text += 'state { folder "state" }\ncontrol "d.sock"\n'
        part = self.folder / "g.part"
        part.write_text(text)
        part.replace(self.folder / "g.kdl")

    def processes(self) -> list[asyncio.subprocess.Process]:
        """Return the processes that signals are sent to."""
        return [each for each in (self.process, self.successor) if each is not None]

    async def prepare_hangup(self) -> None:
        """Replace the settings before a SIGHUP."""
        self.write()

    async def drain_one(self) -> None:
        """Send that the first worker is draining."""
        entry = self.workers[0].entry("draining")
        self.roster.entries[0] = entry
        self.roster.tell(entry)
        self.play.drains.setdefault(self.workers[0].name, time.monotonic())

    async def upgrade(self) -> None:
        """Start the successor process and wait until it is ready."""
        self.successor = await self._start("upgrade")
        await self._ready(self.successor)
