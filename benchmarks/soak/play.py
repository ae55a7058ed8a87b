"""Plays one seed: a dispatcher as its platform starts it, between scripted workers, rosters and clients."""

import asyncio
import contextlib
import copy
import os
import pathlib
import signal
import time
import tomllib
from collections.abc import Sequence

from benchmarks.soak.clients import Client
from benchmarks.soak.peers import SoakRoster, SoakWorker, node_site
from benchmarks.soak.plan import DRAIN_AFTER, Plan, WorkerTrouble
from benchmarks.soak.records import Descriptors, Play

ROOT = pathlib.Path(__file__).parents[2]
LAG_INTERVAL = 0.005  # s between two looks of the lag's watch
TROUBLE_LEAD = 0.2  # s before SIGTERM at which the workers' trouble begins
CROWD_LEAD = 1.0  # s before SIGTERM at which a crowd comes; half of it stays through the shutdown
POLL_INTERVAL = 0.02  # s
START_TIMEOUT = 60  # s
CLOSING_WAIT = 0.3  # s in which clients see how their connections ended
MICROSECONDS = 1_000_000


def command_of_deployment() -> tuple[str, ...]:
    """Return the command that the platform starts a dispatcher with."""
    deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ("/bin/sh", "-c", deployment["run"])


class Site(node_site.Site):
    """The dispatcher and its peers of one play."""

    def __init__(self, plan: Plan, command: Sequence[str]) -> None:
        self.plan = plan
        self.command = command
        self.play = Play()
        workers = [
            SoakWorker(f"s-{n}", plan.seed, plan.service_time, self.play.arrivals)
            for n in range(plan.workers)
        ]
        super().__init__(workers, sockets=plan.descriptors, **_settings(plan))
        self.rosters = [SoakRoster(self.play.drains)]
        self.roster = self.rosters[0]
        self.log = self.play.log

    async def start(self) -> None:
        """Start the process; wait for its readiness unless it is ended before that."""
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

    async def move_roster(self) -> None:
        """Let another roster tell what this one told; the configuration names it from now on."""
        old = self.roster
        self.roster = SoakRoster(self.play.drains)
        self.rosters.append(self.roster)
        await self.roster.open()
        self.roster.serial = old.serial
        self.roster.entries = old.entries
        self.write()
        old.transport.close()

    def descriptors(self) -> Descriptors:
        """Return what the dispatcher holds now."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        links = [os.readlink(each) for each in folder.iterdir()]
        connections = _established_inodes(self.process.pid)
        held = {link.partition("[")[2].rstrip("]") for link in links if link.startswith("socket:")}
        return Descriptors(len(links), len(held & connections))


def _established_inodes(pid: int) -> set[str]:
    """Return the inodes of TCP sockets that are no listeners, as the process sees them."""
    rows = pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    return {fields[9] for fields in map(str.split, rows) if fields[3] != "0A"}


def _settings(plan: Plan) -> dict[str, object]:
    settings = copy.deepcopy(node_site.SETTINGS)
    for each, deadline in zip(settings["classes"], plan.deadlines, strict=True):
        each["deadline"] = int(deadline * MICROSECONDS)
        each["slo"] = min(each["slo"], each["deadline"] // 2)
    settings["permissions"]["connectTimeout"] = int(plan.connect_timeout * MICROSECONDS)
    return settings


async def play(plan: Plan, command: Sequence[str] | None = None) -> Play:
    """Play one plan, with the dispatcher that `command` starts."""
    site = Site(plan, command or command_of_deployment())
    watch = asyncio.ensure_future(_watch_lag(site.play))
    try:
        async with site:
            await _shutdown_early(site) if plan.early else await _serve_and_shut_down(site)
    finally:
        watch.cancel()
        for roster in site.rosters:
            roster.transport.close()
    return site.play


async def _watch_lag(play: Play) -> None:
    while True:
        expected = time.monotonic() + LAG_INTERVAL
        await asyncio.sleep(LAG_INTERVAL)
        now = time.monotonic()
        if now - expected > LAG_INTERVAL:
            play.lags.append((now, now - expected))


async def _shutdown_early(site: Site) -> None:
    await asyncio.sleep(site.plan.serving)
    site.play.terminated_at = time.monotonic()
    await _signal(site)
    await _end_or_kill(site)


async def _serve_and_shut_down(site: Site) -> None:
    plan = site.plan
    site.play.first_descriptors = site.descriptors()
    terminated_at = time.monotonic() + plan.serving
    killed_at = terminated_at + plan.kill_after
    site.play.terminated_at = terminated_at
    clients = [Client(site.play, plan, site.address, f"client {n}") for n in range(plan.clients)]
    tasks = [asyncio.ensure_future(client.run(killed_at)) for client in clients]
    if plan.drains:
        tasks.append(asyncio.ensure_future(_drain_one(site)))
    if plan.crowd:
        tasks.append(asyncio.ensure_future(_crowd(site, terminated_at)))
    tasks.append(asyncio.ensure_future(_trouble(site, terminated_at)))
    await asyncio.sleep(terminated_at + min(each.at for each in plan.signals) - time.monotonic())
    await _signal(site)
    await _end_or_kill(site)
    await asyncio.sleep(CLOSING_WAIT)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.close()


async def _signal(site: Site) -> None:
    """Send the planned signals at their moments; the configuration is replaced before each SIGHUP."""
    for each in site.plan.signals:
        await asyncio.sleep(max(0.0, site.play.terminated_at + each.at - time.monotonic()))
        if each.number is signal.SIGHUP:
            await site.move_roster()
        if each.number is signal.SIGTERM and each.at == 0.0:
            site.play.catches_sigterm = _catches_sigterm(site.process.pid)
            site.play.terminated_at = time.monotonic()
        with contextlib.suppress(ProcessLookupError):
            site.process.send_signal(each.number)


def _catches_sigterm(pid: int) -> bool:
    """Return whether a process has a handler for SIGTERM: an interpreter that starts has none yet."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


async def _end_or_kill(site: Site) -> None:
    left = site.play.terminated_at + site.plan.kill_after - time.monotonic()
    try:
        await asyncio.wait_for(asyncio.shield(site.process.wait()), max(0.0, left))
    except TimeoutError:
        site.process.kill()
        await site.process.wait()
        return
    site.play.ended_at = time.monotonic()
    site.play.exit_code = site.process.returncode


async def _drain_one(site: Site) -> None:
    await asyncio.sleep(DRAIN_AFTER)
    site.roster.tell(site.workers[0], "Terminating")


async def _trouble(site: Site, terminated_at: float) -> None:
    await asyncio.sleep(max(0.0, terminated_at - TROUBLE_LEAD - time.monotonic()))
    if site.plan.trouble is not WorkerTrouble.NONE:
        await asyncio.gather(*(worker.make_trouble(site.plan.trouble) for worker in site.workers))


async def _crowd(site: Site, terminated_at: float) -> None:
    """A crowd that leaves again, after which all descriptors are back; and one that stays to the end."""
    plan = site.plan
    guests = [Client(site.play, plan, site.address, f"guest {n}") for n in range(plan.crowd)]
    await _come(guests)
    await asyncio.sleep(0.1)
    for guest in guests:
        guest.close()
    site.play.last_descriptors = await _settled_descriptors(site, terminated_at - TROUBLE_LEAD)
    await asyncio.sleep(max(0.0, terminated_at - 0.1 - time.monotonic()))
    staying = [Client(site.play, plan, site.address, f"staying {n}") for n in range(plan.crowd)]
    await _come(staying)


async def _come(guests: Sequence[Client]) -> None:
    for guest in guests:
        if await guest.connect():
            guest.ask()


async def _settled_descriptors(site: Site, until: float) -> Descriptors:
    """Return what it holds once that is no more than at the start, or at that moment."""
    while True:
        held = site.descriptors()
        if held.own <= site.play.first_descriptors.own or time.monotonic() > until:
            return held
        await asyncio.sleep(POLL_INTERVAL)
