"""A dispatcher started by the platform's command, with workers by JSON lines and rosters by DNS."""

import asyncio
import copy
import os
import pathlib
import tomllib
from collections.abc import Sequence

from benchmarks.soak.clients import Client
from benchmarks.soak.peers import SoakRoster, SoakWorker, node_site
from benchmarks.soak.plan import Plan
from benchmarks.soak.records import Play

ROOT = pathlib.Path(__file__).parents[2]
START_TIMEOUT = 60  # s
MICROSECONDS = 1_000_000


def command_of_deployment() -> tuple[str, ...]:
    """Return the command that the platform starts a dispatcher with."""
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ("/bin/sh", "-c", deployment["run"])


class PlatformSite(node_site.Site):
    """The dispatcher and its peers of one play."""

    client_class = Client

    def __init__(self, plan: Plan, command: Sequence[str] | None = None) -> None:
        self.plan = plan
        self.command = command or command_of_deployment()
        self.play = Play()
        workers = [
            SoakWorker(f"s-{n}", plan.seed, plan.service_time, self.play.arrivals)
            for n in range(plan.workers)
        ]
        super().__init__(workers, sockets=plan.descriptors, memory=plan.memory_mb, **_settings(plan))
        self.rosters = [SoakRoster(self.play.drains)]
        self.roster = self.rosters[0]
        self.log = self.play.log

    async def start(self) -> None:
        """Start the process; wait until it is ready, unless the plan ends it earlier."""
        path = self.write()
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            cwd=ROOT,
            env={**os.environ, **self.environ(path)},
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self.reading = asyncio.ensure_future(self._logs(self.process.stderr))
        if not self.plan.early:
            await self.until(lambda: any('"listening"' in line for line in self.log), START_TIMEOUT)

    async def __aexit__(self, *exception):
        await super().__aexit__(*exception)
        for roster in self.rosters:
            roster.transport.close()

    def processes(self) -> list[asyncio.subprocess.Process]:
        """Return the processes that signals are sent to."""
        return [self.process]

    async def prepare_hangup(self) -> None:
        """Before a SIGHUP, replace the configuration by one with a new roster, and close the old roster."""
        old = self.roster
        self.roster = SoakRoster(self.play.drains)
        self.rosters.append(self.roster)
        await self.roster.open()
        self.roster.serial = old.serial
        self.roster.entries = old.entries
        self.write()
        old.transport.close()

    async def drain_one(self) -> None:
        """Send that the first worker is draining."""
        self.roster.tell(self.workers[0], "Terminating")

    async def upgrade(self) -> None:
        """Do nothing: on the platform, upgrades work in another way."""


def _settings(plan: Plan) -> dict[str, object]:
    settings = copy.deepcopy(node_site.SETTINGS)
    for each, deadline in zip(settings["classes"], plan.deadlines, strict=True):
        each["deadline"] = int(deadline * MICROSECONDS)
        each["slo"] = min(each["slo"], each["deadline"] // 2)
    settings["permissions"]["connectTimeout"] = int(plan.connect_timeout * MICROSECONDS)
    return settings
