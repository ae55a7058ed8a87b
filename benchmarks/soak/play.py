"""Plays one seed: runs a dispatcher with scripted peers and clients, and ends it by signals under load."""

import asyncio
import contextlib
import os
import pathlib
import signal
import time
from collections.abc import Sequence

from benchmarks.soak.clients import Client
from benchmarks.soak.peers import hostile_clients
from benchmarks.soak.plan import DRAIN_AFTER, Front, Plan, WorkerTrouble
from benchmarks.soak.platform_site import PlatformSite
from benchmarks.soak.records import Descriptors, Play
from benchmarks.soak.serve_site import ServeSite

LAG_INTERVAL = 0.005  # s between two measurements of the event loop's lag
TROUBLE_LEAD = 0.2  # s before SIGTERM at which workers begin to misbehave
CROWD_STAY = 0.1  # s for which the first crowd stays; the second one connects this long before SIGTERM
POLL_INTERVAL = 0.02  # s
MISUSED_FUNCTION = 99
CLOSING_WAIT = 0.3  # s after the end within which clients see how their connections ended
LISTENING = "0A"  # the state of a listener in /proc/net/tcp

Site = PlatformSite | ServeSite
SITES = {Front.NODE: PlatformSite, Front.SERVE: ServeSite}


async def play(plan: Plan, command: Sequence[str] | None = None) -> Play:
    """Play one plan with the dispatcher that `command` starts, or with the default one."""
    site = SITES[plan.front](plan, command)
    watch = asyncio.ensure_future(_watch_lag(site.play))
    try:
        async with site:
            memory = asyncio.ensure_future(_watch_memory(site))
            await _shutdown_early(site) if plan.early else await _serve_and_shut_down(site)
            memory.cancel()
    finally:
        watch.cancel()
    return site.play


async def _watch_lag(play: Play) -> None:
    while True:
        expected = time.monotonic() + LAG_INTERVAL
        await asyncio.sleep(LAG_INTERVAL)
        now = time.monotonic()
        if now - expected > LAG_INTERVAL:
            play.lags.append((now, now - expected))


async def _watch_memory(site: Site) -> None:
    """Record the peak of the dispatcher's private memory until its process has ended."""
    while site.process.returncode is None:
        with contextlib.suppress(OSError):
            memory = hostile_clients.private_memory(site.process.pid)
            site.play.peak_memory = max(site.play.peak_memory, memory)
        await asyncio.sleep(POLL_INTERVAL)


async def _misuse(site: Site, until: float) -> None:
    """Misuse connections in all ways at once until the kill."""
    crowd = hostile_clients.Crowd(
        site.address,
        site.plan.misused,
        (
            hostile_clients.begun,
            hostile_clients.large,
            hostile_clients.many_fields,
            hostile_clients.nested,
            hostile_clients.answers_of(MISUSED_FUNCTION, hostile_clients.MAX_BODY),
        ),
    )
    try:
        await crowd.run(until - time.monotonic())
    finally:
        crowd.close()


async def _shutdown_early(site: Site) -> None:
    await asyncio.sleep(site.plan.serving)
    site.play.terminated_at = time.monotonic()
    await _signal(site)
    await _end_or_kill(site)


async def _serve_and_shut_down(site: Site) -> None:
    plan = site.plan
    site.play.first_descriptors = _descriptors(site)
    terminated_at = time.monotonic() + plan.serving
    killed_at = terminated_at + plan.kill_after
    site.play.terminated_at = terminated_at
    clients = [site.client_class(site.play, plan, site.address, f"client {n}") for n in range(plan.clients)]
    tasks = [asyncio.ensure_future(client.run(killed_at)) for client in clients]
    if plan.drains:
        tasks.append(asyncio.ensure_future(_drain_one(site)))
    if plan.crowd:
        tasks.append(asyncio.ensure_future(_crowd(site, terminated_at)))
    if plan.misused:
        tasks.append(asyncio.ensure_future(_misuse(site, killed_at)))
    tasks.append(asyncio.ensure_future(_trouble(site, terminated_at)))
    if plan.upgrades:
        await site.upgrade()
    await _sleep_until(terminated_at + plan.signals[0].at)
    await _signal(site)
    await _end_or_kill(site)
    await asyncio.sleep(CLOSING_WAIT)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for client in clients:
        client.close()


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


async def _signal(site: Site) -> None:
    """Send the planned signals at their times; replace the settings before each SIGHUP."""
    for each in site.plan.signals:
        await _sleep_until(site.play.terminated_at + each.at)
        if each.number is signal.SIGHUP:
            await site.prepare_hangup()
        if each.number is signal.SIGTERM and each.at == 0.0:
            site.play.catches_sigterm = all(_catches_sigterm(process.pid) for process in site.processes())
            site.play.terminated_at = time.monotonic()
        for process in site.processes():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(each.number)


def _catches_sigterm(pid: int) -> bool:
    """Return whether a process has a handler for SIGTERM; a starting interpreter has none yet."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1)


async def _end_or_kill(site: Site) -> None:
    """Wait for the end of all processes; kill those left at the earliest time the protocol allows."""
    processes = site.processes()
    left = site.play.terminated_at + site.plan.kill_after - time.monotonic()
    try:
        async with asyncio.timeout(max(0.0, left)):
            await asyncio.gather(*(process.wait() for process in processes))
    except TimeoutError:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return
    site.play.ended_at = time.monotonic()
    codes = [process.returncode for process in processes]
    site.play.exit_code = next((code for code in codes if code != 0), 0)


async def _drain_one(site: Site) -> None:
    await asyncio.sleep(DRAIN_AFTER)
    await site.drain_one()


async def _trouble(site: Site, terminated_at: float) -> None:
    await _sleep_until(terminated_at - TROUBLE_LEAD)
    if site.plan.trouble is not WorkerTrouble.NONE:
        await asyncio.gather(*(worker.make_trouble(site.plan.trouble) for worker in site.workers))


async def _crowd(site: Site, terminated_at: float) -> None:
    """Open and close a crowd of connections and count descriptors, then open one that stays to the end."""
    plan = site.plan
    guests = [site.client_class(site.play, plan, site.address, f"guest {n}") for n in range(plan.crowd)]
    await _connect_and_ask(guests)
    await asyncio.sleep(CROWD_STAY)
    for guest in guests:
        guest.close()
    site.play.last_descriptors = await _settled_descriptors(site, terminated_at - TROUBLE_LEAD)
    await _sleep_until(terminated_at - CROWD_STAY)
    staying = [site.client_class(site.play, plan, site.address, f"staying {n}") for n in range(plan.crowd)]
    await _connect_and_ask(staying)


async def _connect_and_ask(guests: Sequence[Client]) -> None:
    for guest in guests:
        if await guest.connect():
            guest.ask()


async def _settled_descriptors(site: Site, until: float) -> Descriptors:
    """Return the dispatcher's descriptors once they are no more than at the start, or at the time `until`."""
    while True:
        held = _descriptors(site)
        if held.own <= site.play.first_descriptors.own or time.monotonic() > until:
            return held
        await asyncio.sleep(POLL_INTERVAL)


def _descriptors(site: Site) -> Descriptors:
    """Return the descriptors that the dispatcher has open now."""
    pid = site.process.pid
    links = [os.readlink(each) for each in pathlib.Path(f"/proc/{pid}/fd").iterdir()]
    held = {link.partition("[")[2].rstrip("]") for link in links if link.startswith("socket:")}
    return Descriptors(len(links), len(held & _connection_inodes(pid)))


def _connection_inodes(pid: int) -> set[str]:
    """Return the inodes of the TCP sockets in a process's network namespace that are not listening."""
    rows = pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    return {fields[9] for fields in map(str.split, rows) if fields[3] != LISTENING}
