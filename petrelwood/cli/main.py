"""The `petrelwood` command and its subcommands; invalid input exits with status 2 and a one-line error."""

import asyncio
import base64
import json
import pathlib
import secrets
import sys
import tempfile
import time

import click

from petrelwood.errors import StorageError
from petrelwood.settings.errors import SettingsError

EXAMPLES = {
    "serve": "petrelwood serve gateway.kdl",
    "worker": "petrelwood worker bad --name w1 --store 127.0.3.1:7000 --listen 127.0.1.1:7100",
    "sign": "petrelwood sign --key whsec_... --id msg_1 body.json",
    "verify": (
        "petrelwood verify --key whsec_... --id msg_1 --timestamp 1764600000 --signature 'v1,...' body.json"
    ),
    "day": "petrelwood day bad --seed 3 --json result.json",
    "publish": (
        "petrelwood publish --broker 127.0.0.1:1883 --customer x --type score --function "
        "applicant-1 body.json"
    ),
    "emulate": "petrelwood emulate bad --seed 3",
    "compare": "petrelwood compare bad",
    "run": "petrelwood experiment run benchmarks/experiments/policies.kdl --out results/policies",
    "table": "petrelwood experiment table results/policies --figure 'worst 5 s'",
    "report": "petrelwood experiment report results/policies --to report.html",
    "show": "petrelwood history show history/d1 --function applicant-3 --since 2026-12-01T08:00",
    "backtest": "petrelwood forecast backtest history/d1 --slot 600",
    "explain": "petrelwood forecast explain history/d1 applicant-3 --chart applicant-3.png",
    "speak": "petrelwood bgp speak speaker.kdl --status speaker.json",
    "peers": "petrelwood bgp peers speaker.json",
    "decode": "petrelwood bgp decode session.bin",
    "router": "petrelwood router --listen 127.0.4.1:1790",
    "search": "petrelwood experiment search petrelwood/lab/days/bad.kdl --runs 40 --keep found",
    "audit": "petrelwood audit runs/bad-3",
}


class Address(click.ParamType):
    name = "HOST:PORT"

    def convert(self, value, param, ctx):
        if isinstance(value, tuple):
            return value
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            self.fail(f"'{value}' is no address like 127.0.0.1:8080", param, ctx)
        return host.strip("[]"), int(port)


def command(group, name):
    """Return a decorator for a subcommand; its help ends with the example for `name`, if any."""
    return group.command(name, epilog=f"Example: {EXAMPLES[name]}" if name in EXAMPLES else None)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="petrelwood", prog_name="petrelwood")
def cli():
    """A gateway that runs calls on workers which load functions or models on demand, and its tools."""


def _dispatcher_command(name):
    """Return a decorator for a subcommand that runs a dispatcher, with its settings file and log options."""

    def decorate(function):
        for option in (
            click.option(
                "--level",
                default="info",
                show_default=True,
                type=click.Choice(["debug", "info", "warning", "error"]),
            ),
            click.option("--log", type=click.Choice(["json", "text"]), default="json", show_default=True),
            click.argument("file", type=click.Path(dir_okay=False)),
        ):
            function = option(function)
        return command(cli, name)(function)

    return decorate


def _run(settings, file, log, level, follows, previous_rollout=None):
    from petrelwood.cli.logs import open_log
    from petrelwood.dispatch import rollout, serve
    from petrelwood.settings import gateway

    def read_settings(text=None):
        return gateway.read(file, text)

    def upgrade_command(rollout_state):
        return [
            sys.executable,
            "-m",
            "petrelwood.cli",
            "upgrade",
            file,
            "--log",
            log,
            "--level",
            level,
            "--rolled",
            rollout_state,
        ]

    own = settings
    if previous_rollout and previous_rollout[0]:
        settings = rollout.read_version(read_settings, own, own.versions, previous_rollout[0])
    options = serve.ServeOptions(
        follows=follows,
        read_settings=read_settings,
        upgrade_command=upgrade_command,
        own=own,
        rollout_state=previous_rollout,
    )
    sys.exit(serve.run(settings, open_log(log, level, dispatcher=settings.name), options))


@_dispatcher_command("serve")
def serve(file, log, level):
    """Runs one dispatcher with the settings in FILE (KDL) until SIGTERM."""
    from petrelwood.settings import gateway

    _run(gateway.read(file), file, log, level, False)


@_dispatcher_command("upgrade")
@click.option(
    "--rolled", default="", hidden=True, help="how far the roll-out of versions is, from the process before"
)
def upgrade(file, log, level, rolled):
    """Takes over from the dispatcher that runs with FILE's `control` socket, and goes on in its place."""
    from petrelwood.decide.cluster.rollout import Rollout
    from petrelwood.settings import gateway

    settings = gateway.read(file)
    if not settings.control:
        raise click.ClickException(f"{file}: an upgrade needs a 'control' socket")
    try:
        previous_rollout = json.loads(rolled) if rolled else None
        if previous_rollout:
            Rollout.from_state(settings.name, previous_rollout)
    except ValueError:
        raise click.BadParameter(
            "it is not what a process before has handed over", param_hint="--rolled"
        ) from None
    _run(settings, file, log, level, True, previous_rollout)


def _standin_options(function):
    for option in (
        click.option("--seed", type=int, default=1, show_default=True),
        click.option(
            "--records", type=click.Path(file_okay=False), default="", help="where to write what it saw"
        ),
        click.option("--listen", type=Address(), default="127.0.0.1:0", show_default=True),
        click.argument("day"),
    ):
        function = option(function)
    return function


def _day(name):
    from petrelwood.emulate import script

    return script.read(script.find(name))


def _create_folder(path):
    if path:
        pathlib.Path(path).mkdir(parents=True, exist_ok=True)
    return path


@command(cli, "worker")
@_standin_options
@click.option("--name", required=True)
@click.option("--store", type=Address(), required=True)
@click.option("--booted", type=int, default=0, help="wall-clock start, ns; 0: long ago, and warm")
def worker(day, listen, records, seed, name, store, booted):
    """A stand-in worker as DAY describes it. The day's first second comes on standard input."""
    from petrelwood.standins import worker as standin

    asyncio.run(standin.serve(_day(day), name, listen, store, _create_folder(records), booted, seed))


@command(cli, "store")
@_standin_options
def store(day, listen, records, seed):
    """A stand-in store of models."""
    from petrelwood.standins import store as standin

    asyncio.run(standin.serve(_day(day), listen, _create_folder(records)))


@command(cli, "roster")
@_standin_options
def roster(day, listen, records, seed):
    """A stand-in roster; news of workers comes on standard input, a JSON object a line."""
    from petrelwood.standins import roster as standin

    asyncio.run(standin.serve(_day(day), listen, _create_folder(records)))


def _client_options(function):
    for option in (
        click.option("--records", type=click.Path(file_okay=False), default=""),
        click.option(
            "--plan",
            type=click.Path(exists=True, dir_okay=False),
            required=True,
            help="JSON: start, seed, addresses, customers' keys",
        ),
        click.argument("day"),
    ):
        function = option(function)
    return function


@command(cli, "broker")
@_standin_options
def broker(day, listen, records, seed):
    """A stand-in MQTT 5 broker. A customer's password is its name; the gateways' user is 'gateway'."""
    from petrelwood.standins import broker as standin

    day_script = _day(day)
    users = {c.name: c.name.encode() for c in day_script.clients}
    asyncio.run(standin.serve(day_script, listen, _create_folder(records), {**users, "gateway": b"gateway"}))


@command(cli, "devices")
@_client_options
def devices(day, plan, records):
    """Stand-in devices: publish the MQTT traffic of DAY."""
    from petrelwood.standins import devices as standin

    plan_data = json.loads(pathlib.Path(plan).read_text())
    day_script = _day(day)
    asyncio.run(
        standin.serve(
            day_script,
            tuple(plan_data["broker"]),
            *_timeouts_and_repeatable_types(day_script),
            _create_folder(records),
            plan_data["start"],
            plan_data["seed"],
            tell=lambda c: print(json.dumps(c), flush=True),
        )
    )


@command(cli, "publish")
@click.argument("body", type=click.File("rb"))
@click.option("--broker", "address", type=Address(), required=True)
@click.option("--customer", required=True, help="also the user")
@click.option("--password", default="", help="the customer's name if not given")
@click.option("--type", "type_", required=True, help="namespace type")
@click.option("--function", required=True)
@click.option("--qos", type=click.IntRange(0, 2), default=2, show_default=True)
@click.option("--wait", type=click.IntRange(1), default=5, show_default=True, help="patience, seconds")
def publish(body, address, customer, password, type_, function, qos, wait):
    """Publishes BODY as an activation, prints its answer: exit 0 completed, 1 rejected or aborted, 3 none in
    time."""
    from petrelwood.standins import devices as standin

    try:
        status, payload = asyncio.run(
            standin.publish_one(
                address, customer, (password or customer).encode(), type_, function, body.read(), qos, wait
            )
        )
    except (OSError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(f"{status}: {payload.decode('utf-8', 'replace')}" if status else f"no answer in {wait} s")
    sys.exit({"completed": 0, None: 3}.get(status, 1))


def _timeouts_and_repeatable_types(day_script):
    """Return the action timeouts in seconds by namespace type, and the set of repeatable namespace types."""
    from petrelwood.settings import namespaces

    timeouts, repeatable = {}, set()
    for node in day_script.terms.every("namespace-type"):
        name, type_, timeout, _ = namespaces.decode_namespace_type(node)
        timeouts[name] = timeout / 1e9
        if type_.effect == "repeatable":
            repeatable.add(name)
    return timeouts, repeatable


@command(cli, "portal")
@_client_options
def portal(day, plan, records):
    """A stand-in portal: signs and sends the webhooks of DAY."""
    from petrelwood.standins import portal as standin

    plan_data, day_script = json.loads(pathlib.Path(plan).read_text()), _day(day)
    timeouts, repeatable = _timeouts_and_repeatable_types(day_script)
    keys = {c: [(s, bytes.fromhex(k)) for s, k in pairs] for c, pairs in plan_data["keys"].items()}
    asyncio.run(
        standin.serve(
            day_script,
            {n: tuple(a) for n, a in plan_data["dispatchers"].items()},
            keys,
            timeouts,
            repeatable,
            _create_folder(records),
            plan_data["start"],
            plan_data["seed"],
            tell=lambda c: print(json.dumps(c), flush=True),
            steer=plan_data.get("steer"),
        )
    )


def _signing_key(text):
    prefix, _, rest = text.partition("_")
    schemes = {"whsec": "v1", "whsk": "v1a", "whpk": "v1a"}
    try:
        return schemes[prefix], base64.b64decode(rest, validate=True)
    except (KeyError, ValueError):
        raise click.BadParameter(
            "a key is whsec_..., whsk_... (private) or whpk_... (public), in base64"
        ) from None


@command(cli, "sign")
@click.argument("body", type=click.File("rb"))
@click.option("--key", required=True, help="whsec_... or an Ed25519 private key whsk_...")
@click.option("--id", "id_", default="", help="the webhook-id; drawn if not given")
@click.option("--timestamp", type=int, default=0, help="seconds; now if not given")
def sign(body, key, id_, timestamp):
    """Signs BODY ('-' for standard input) and prints the three headers."""
    from petrelwood.fronts import signing

    scheme, raw = _signing_key(key)
    if key.startswith("whpk_"):
        raise click.BadParameter("a public key can't sign; whsk_ is the private one")
    id_, timestamp = id_ or f"msg_{secrets.token_hex(12)}", timestamp or int(time.time())
    click.echo(
        f"webhook-id: {id_}\nwebhook-timestamp: {timestamp}\n"
        f"webhook-signature: {signing.sign(scheme, raw, id_, timestamp, body.read())}"
    )


@command(cli, "verify")
@click.argument("body", type=click.File("rb"))
@click.option("--key", required=True, multiple=True, help="whsec_... or whpk_...; may be given several times")
@click.option("--id", "id_", required=True)
@click.option("--timestamp", type=int, required=True)
@click.option("--signature", required=True, help="the whole webhook-signature header")
def verify(body, key, id_, timestamp, signature):
    """Whether a signature of BODY holds under one of the keys: exit 0 or 1."""
    from petrelwood.fronts import signing

    holds = signing.Verifier([_signing_key(k) for k in key]).is_valid(signature, id_, timestamp, body.read())
    click.echo("it holds" if holds else "no signature holds")
    sys.exit(0 if holds else 1)


@command(cli, "day")
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "result", type=click.Path(dir_okay=False), help="also write the result here")
@click.option("--folder", type=click.Path(file_okay=False), help="keep logs and records here")
@click.option("--quiet", is_flag=True, help="no live progress")
@click.option(
    "--watch",
    type=click.Path(dir_okay=False),
    help="look at all processes' memory and descriptors, to this CSV file",
)
def day(name, seed, result, folder, quiet, watch):
    """Plays a day with real processes on loopback and judges it: exit 0 only if every rule held, and, with
    --watch, no dispatcher grows."""
    from petrelwood.cli import show
    from petrelwood.lab import day as lab

    day_script = _day(name)
    with tempfile.TemporaryDirectory(prefix="petrelwood-") as own:
        where = pathlib.Path(folder or own)
        if folder and where.exists() and any(where.iterdir()):
            raise click.BadParameter(f"{folder} is not empty", param_hint="--folder")
        where.mkdir(parents=True, exist_ok=True)
        with show.progress(day_script, quiet) as tell:
            run = lab.Run(day_script, seed, where, tell)
            try:
                asyncio.run(_play_watched(run, watch) if watch else run.play())
            except lab.DayFailed as error:
                raise click.ClickException(str(error)) from None
        failed = show.print_verdict(run.case(), day_script, seed, result)
        sys.exit(failed | (show.print_growth(watch, day_script.dispatchers) if watch else 0))


async def _play_watched(run, path):
    from petrelwood.lab import soak

    watcher = asyncio.ensure_future(soak.watch(run, path))
    try:
        return await run.play()
    finally:
        watcher.cancel()


@command(cli, "audit")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--day", "name", default="bad", show_default=True, help="the day that was played")
@click.option("--json", "result", type=click.Path(dir_okay=False))
def audit(folder, name, result):
    """Judges a played day again, from the records that `petrelwood day --folder FOLDER` kept."""
    from petrelwood.cli import show
    from petrelwood.lab import day as lab

    day_script = _day(name)
    sys.exit(show.print_verdict(lab.case_of(folder, day_script), day_script, None, result))


@command(cli, "completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Prints the completion of all commands for a SHELL: source it."""
    from click.shell_completion import get_completion_class

    click.echo(get_completion_class(shell)(cli, {}, "petrelwood", "_PETRELWOOD_COMPLETE").source())


def _add_command_groups():
    """Add the command groups of the other modules, which import heavy libraries only when they run."""
    from petrelwood.cli import bgp, configs, configuration, emulated, kept, past

    emulated.add(cli, _day, command)
    past.add(cli, command)
    kept.add(cli, command)
    configs.add(cli, command)
    configuration.add(cli, command, Address())
    bgp.add(cli, command, Address())


_add_command_groups()


def main():
    try:
        cli(prog_name="petrelwood", standalone_mode=True)
    except (SettingsError, StorageError) as error:
        click.echo(f"petrelwood: {error}", err=True)
        return 2
    except KeyboardInterrupt:
        return 130
    return 0
