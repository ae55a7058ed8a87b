"""Plays a day with real processes on loopback: a store, workers, a roster, dispatchers, a portal.

The runner acts as the operator: it starts and kills processes, updates the roster, and passes the records to
the audit. Each process listens on its own loopback address, so that its port is free when it restarts."""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import sys
import time

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from petrelwood.audit import rules
from petrelwood.emulate import script
from petrelwood.settings import gateway as settings

START_WITHIN = 60  # seconds for a process to be ready, on a busy machine
LEAD = 1_500_000_000  # ns between the readiness of the last process and the start of the day


class DayFailed(Exception):
    """The day could not be played; `str()` gives the reason."""


class Process:
    """A process of the day; its first line of output says that it is ready."""

    def __init__(self, name, args, folder):
        self.name, self.args, self.folder, self.child, self.address = name, args, folder, None, None

    async def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.child = await asyncio.create_subprocess_exec(
            *self.args, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log
        )
        log.close()
        try:
            line = await asyncio.wait_for(self.child.stdout.readline(), START_WITHIN)
            self.said = json.loads(line)
            host, _, port = self.said["ready"].rpartition(":")
        except (TimeoutError, ValueError, KeyError):
            tail = (self.folder / f"{self.name}.log").read_text(errors="replace").strip().splitlines()[-3:]
            raise DayFailed(f"{self.name} did not start: {' | '.join(tail) or 'it said nothing'}") from None
        self.address = host, int(port) if port.isdigit() else 0
        return self.address

    def tell(self, message):
        self.child.stdin.write(json.dumps(message).encode() + b"\n")

    async def kill(self):
        self.child.kill()
        await self.child.wait()

    async def stop(self, within=15):
        if self.child is None or self.child.returncode is not None:
            return
        self.child.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.child.wait(), within)
        except TimeoutError:
            await self.kill()


class Run:
    """One play of a day in a folder.

    `program`: the command line of petrelwood; `dispatcher`: the command line that serves a settings file.
    """

    def __init__(self, day, seed, folder, tell=None, program=None, dispatcher=None):
        self.day, self.seed, self.folder, self.tell = (
            day,
            seed,
            pathlib.Path(folder),
            tell or (lambda *_: None),
        )
        self.program = program or [sys.executable, "-m", "petrelwood.cli"]
        self.dispatcher = dispatcher or [*self.program, "serve"]
        self.records = self.folder / "records"
        self.records.mkdir(parents=True, exist_ok=True)
        self.log = open(self.records / "operator.jsonl", "ab", buffering=0)
        self.processes, self.workers, self.dispatchers, self.booted = [], {}, {}, {}
        self.zones = {name: (zone, cell) for name, zone, cell in day.workers}
        self.tasks, self.keys, self.roster, self.store, self.broker, self.router = (
            [],
            {},
            None,
            None,
            None,
            None,
        )
        self.chance = random.Random(f"{seed}/keys")

    def put(self, what, **fields):
        self.log.write(
            json.dumps({"t": what, "at": time.monotonic_ns(), "who": "operator", **fields}).encode() + b"\n"
        )

    def process(self, name, args):
        made = Process(name, args, self.folder)
        self.processes.append(made)
        return made

    # Command lines and settings of the processes
    def _standin(self, what, listen, *more):
        return [
            *self.program,
            what,
            self.day.file,
            "--listen",
            listen,
            "--records",
            str(self.records),
            "--seed",
            str(self.seed),
            *more,
        ]

    def _worker_args(self, name, number, booted, port=0):
        store = f"{self.store.address[0]}:{self.store.address[1]}"
        return self._standin(
            "worker", f"127.0.1.{number}:{port}", "--name", name, "--store", store, "--booted", str(booted)
        )

    def _entry(self, name, state):
        host, port = self.workers[name].address
        zone, cell = self.zones[name]
        return {
            "worker": name,
            "address": f"{host}:{port}",
            "zone": zone,
            "cell": cell,
            "booted": self.booted[name],
            "state": state,
        }

    def _make_keys(self):
        for client in self.day.clients:
            secret, private = self.chance.randbytes(32), self.chance.randbytes(32)
            self.keys[client.name] = [("v1", secret), ("v1a", private)]

    @staticmethod
    def _public(scheme, key):
        """Return a key as written in a gateway's file."""
        if scheme == "v1":
            return "whsec_" + base64.b64encode(key).decode()
        public = Ed25519PrivateKey.from_private_bytes(key).public_key()
        return (
            "whpk_"
            + base64.b64encode(
                public.public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw)
            ).decode()
        )

    def gateway_file(self, name, number, port=0):
        """Write one dispatcher's settings file; return its path."""
        day, keys = self.day, {}
        for client in day.clients:
            keys[client.name] = [self._public(scheme, key) for scheme, key in self.keys[client.name]]
        text = script.gateway_text(
            day,
            name,
            number,
            f"127.0.2.{number}:{port}",
            "{}:{}".format(*self.roster.address),
            keys,
            self.seed,
            "{}:{}".format(*self.broker.address) if self.broker else "",
        )
        if day.service:
            text += f'health "{name}.beats"\n'
        if day.upgrades:
            text += f'state {{ folder "state-{name}" }}\ncontrol "{name}.sock"\n'
        path = self.folder / f"{name}.kdl"
        path.write_text(text)
        os.chmod(path, 0o600)
        return path

    async def _start_servers(self):
        day = self.day
        self.store = self.process("store", self._standin("store", "127.0.3.1:0"))
        self.roster = self.process("roster", self._standin("roster", "127.0.3.2:0"))
        if any(client.by == "mqtt" for client in day.clients):
            self.broker = self.process("broker", self._standin("broker", "127.0.3.3:0"))
        if day.service:
            self.router = self.process(
                "router",
                [
                    *self.program,
                    "router",
                    "--listen",
                    "127.0.3.4:0",
                    "--watch",
                    "127.0.3.4:0",
                    "--records",
                    str(self.records),
                    "--hold",
                    "9",
                ],
            )
        await asyncio.gather(*(p.start() for p in self.processes))
        for number, (name, home_zone, cell) in enumerate(day.workers, 1):
            self.booted[name] = 0
            self.workers[name] = self.process(name, self._worker_args(name, number, 0))
            self.put("worker", worker=name, zone=home_zone, cell=cell)
        await asyncio.gather(*(w.start() for w in self.workers.values()))

    async def _start_dispatchers(self):
        for name in self.day.workers:
            self.roster.tell({**self._entry(name[0], "usable"), "now": True})
        self._make_keys()
        for number, name in enumerate(self.day.dispatchers, 1):
            path = self.gateway_file(name, number)
            self.dispatchers[name] = self.process(name, [*self.dispatcher, str(path)])
        speakers = [
            self._speaker(name, number)
            for number, name in enumerate(self.day.dispatchers, 1)
            if self.day.service
        ]
        await asyncio.gather(*(p.start() for p in [*self.dispatchers.values(), *speakers]))

    def _speaker(self, name, number):
        """Return the BGP speaker of one dispatcher; it runs for the whole day."""
        host, port = self.router.address
        path = self.folder / f"speaker-{name}.kdl"
        path.write_text(f"""speaker "{name}" {{
    asn 65001
    id "10.0.0.{number}"
    health "{name}.beats"
    hold "9s"
    peer "router" address="{host}:{port}" asn=65000 role="customer"
    serve "{self.day.service}" next-hop="127.0.2.{number}"
}}
""")
        return self.process(f"speaker-{name}", [*self.program, "bgp", "speak", str(path)])

    async def play(self):
        """Play the day; return the counts of the portal. Raises `DayFailed`."""
        emulated_only = [t.kind for t in self.day.troubles if t.kind in script.EMULATED]
        if emulated_only:
            raise DayFailed(
                f"'{emulated_only[0]}' plays in the emulator only: petrelwood emulate {self.day.file}"
            )
        try:
            await self._start_servers()
            await self._start_dispatchers()
            self.start = time.monotonic_ns() + LEAD
            self.put("start", start=self.start)
            for process in (
                self.roster,
                self.store,
                *self.workers.values(),
                *([self.broker] if self.broker else ()),
            ):
                process.tell({"start": self.start})
            for trouble in self.day.troubles:
                if trouble.kind in OPERATES:
                    self.tasks.append(
                        asyncio.ensure_future(
                            self._begin_at(self.start + trouble.at, OPERATES[trouble.kind], trouble)
                        )
                    )
            counts, *_ = await asyncio.gather(
                self._clients("portal", self.start),
                *([self._clients("devices", self.start)] if self.broker else ()),
            )
            await asyncio.gather(*self.tasks)
            return counts
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*(p.stop() for p in self.processes if p.name in self.day.dispatchers))
            await asyncio.gather(*(p.stop() for p in self.processes))
            self.log.close()

    async def _begin_at(self, when, call, trouble):
        await asyncio.sleep(max(0, when - time.monotonic_ns()) / 1e9)
        self.tell(f"{trouble.kind} {' '.join(str(v) for v in trouble.what.values())}")
        await call(self, trouble)

    async def _clients(self, what, start):
        plan = {
            "start": start,
            "seed": self.seed,
            "dispatchers": {n: list(d.address) for n, d in self.dispatchers.items()},
            "keys": {c: [[s, k.hex()] for s, k in keys] for c, keys in self.keys.items()},
        }
        if self.broker is not None:
            plan["broker"] = list(self.broker.address)
        if self.router is not None:
            host, _, port = self.router.said["watch"].rpartition(":")
            plan["steer"] = {
                "watch": [host, int(port)],
                "prefix": self.day.service,
                "names": {str((10 << 24) + n): name for n, name in enumerate(self.day.dispatchers, 1)},
            }
        path = self.folder / f"plan-{what}.json"
        path.write_text(json.dumps(plan))
        os.chmod(path, 0o600)
        with open(self.folder / f"{what}.log", "wb") as log:
            child = await asyncio.create_subprocess_exec(
                *self.program,
                what,
                self.day.file,
                "--plan",
                str(path),
                "--records",
                str(self.records),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        counts = {}
        try:
            while line := await child.stdout.readline():
                counts = json.loads(line)
                self.tell(counts)
            if await child.wait():
                raise DayFailed(f"{what} failed: " + (self.folder / f"{what}.log").read_text()[-500:])
        finally:
            if child.returncode is None:
                child.kill()
                await child.wait()
        return counts

    # Actions of the operator
    async def _drain(self, trouble):
        names = self.day.hit(trouble, self.seed)
        for name in names:
            self.roster.tell(self._entry(name, "draining"))
        await asyncio.sleep(trouble.span / 1e9)
        for name in names:
            self.roster.tell(self._entry(name, "usable"))

    async def _restart(self, trouble):
        await asyncio.gather(*(self._restart_one(name, trouble) for name in self.day.hit(trouble, self.seed)))

    async def _restart_one(self, name, trouble):
        number = [w[0] for w in self.day.workers].index(name) + 1
        port = self.workers[name].address[1]
        await self.workers[name].kill()
        self.roster.tell(self._entry(name, "gone"))
        await asyncio.sleep(trouble.what["down"] / 1e9)
        self.booted[name] = time.time_ns()
        again = self.process(name, self._worker_args(name, number, self.booted[name], port))
        self.workers[name] = again
        await again.start()
        again.tell({"start": self.start})
        self.roster.tell(self._entry(name, "usable"))

    async def _kill(self, trouble):
        name = trouble.what["dispatcher"]
        self.put("killed", name=name)
        await self.dispatchers[name].kill()
        await self._restart_dispatcher(name, trouble)

    async def _stop(self, trouble):
        name = trouble.what["dispatcher"]
        await self.dispatchers[name].stop()
        await self._restart_dispatcher(name, trouble)

    async def _restart_dispatcher(self, name, trouble):
        await asyncio.sleep(trouble.what["down"] / 1e9)
        number = self.day.dispatchers.index(name) + 1
        path = self.gateway_file(name, number, self.dispatchers[name].address[1])
        again = self.process(name, [*self.dispatcher, str(path)])
        self.dispatchers[name] = again
        await again.start()

    async def _upgrade(self, trouble):
        """Upgrade a dispatcher; retry once if the new process can't take over.

        It can't while the previous upgrade has not proven itself, or when the old process was just killed.
        """
        name = trouble.what["dispatcher"]
        number, old = self.day.dispatchers.index(name) + 1, self.dispatchers[name]
        path = self.gateway_file(name, number, old.address[1])
        for _ in range(2):
            if self.dispatchers[name] is not old or old.child.returncode is not None:
                break  # the old process was killed meanwhile
            new, begun = self.process(name, [*self.program, "upgrade", str(path)]), time.monotonic_ns()
            try:
                await new.start()
            except DayFailed as fault:
                self.put("not upgraded", name=name, why=str(fault)[-200:])
                await asyncio.sleep(3)
                continue
            self.dispatchers[name] = new
            self.put("upgraded", name=name, begun=begun)
            await old.child.wait()
            self.put("old ended", name=name, code=old.child.returncode)
            break

    async def _router_reset(self, trouble):
        if self.router is not None:
            self.router.tell({"do": "reset"})

    def case(self):
        """Return the records of the stand-ins as a case for the rules of the audit."""
        return case_of(self.folder, self.day)


OPERATES = {
    "drain": Run._drain,
    "restart": Run._restart,
    "kill": Run._kill,
    "stop": Run._stop,
    "upgrade": Run._upgrade,
    "router-reset": Run._router_reset,
}


def case_of(folder, day):
    """Return a played day's folder as a case. Raises `SettingsError` if it holds no such day."""
    folder = pathlib.Path(folder)
    gateway = settings.read(folder / f"{day.dispatchers[0]}.kdl")
    records = rules.load(folder / "records")
    start = next((r["start"] for r in records if r["t"] == "start"), 0)
    away = [
        (start + t.at, start + t.at + t.span)
        for t in day.troubles
        if t.kind in ("broker-lost", "broker-silent")
    ]
    return rules.Case(records, gateway.terms, gateway.workers.drain_grace, day.build, day.works(), away)
