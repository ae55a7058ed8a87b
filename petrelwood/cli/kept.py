"""Commands on the stored state of a dispatcher."""

import collections
import datetime
import json
import pathlib
import sys

import click


def _format_time(time_ns):
    return datetime.datetime.fromtimestamp(time_ns / 1e9, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def add(cli, command):
    @cli.group("state")
    def state():
        """What a dispatcher keeps over its restarts: ids, their outcomes, orders."""

    folder_argument = click.argument("folder", type=click.Path(exists=True, file_okay=False))

    def read(path):
        from petrelwood.store import state_segments as store
        from petrelwood.store.errors import StateUnreadableError

        try:
            return store.scan(path)
        except StateUnreadableError as error:
            raise click.ClickException(str(error)) from None

    @command(state, "ls")
    @folder_argument
    def ls(folder):
        """The segments: epoch, time, records by kind, bytes."""
        from petrelwood.store import state_segments as store
        from petrelwood.store.state_codec import STORED_NAMES

        for epoch, number, path in store.segments(folder):
            records, intact_size, damage = read(path)
            kinds = collections.Counter(type(record) for record in records)
            first_time = _format_time(records[0].time) if records else "-"
            click.echo(
                f"epoch {epoch:<4d} {number:<4d} {first_time}  {path.stat().st_size:>10} bytes  "
                + ", ".join(f"{kinds[kind]} {name}" for kind, name in STORED_NAMES.items() if kinds[kind])
                + (f"; {damage}" if damage else "")
            )

    @command(state, "show")
    @folder_argument
    @click.option("--id", "id_", help="only this id")
    @click.option("--customer", help="only this customer's")
    @click.option("--open", "only_open", is_flag=True, help="only ids without an outcome")
    @click.option("--rows", type=click.IntRange(1), default=20, show_default=True)
    @click.option("--json", "as_json", is_flag=True)
    def show(folder, id_, customer, only_open, rows, as_json):
        """What a start would make of it: the last ids and how they ended."""
        from petrelwood.decide.delivery import ledger, recovery
        from petrelwood.decide.delivery.state_records import OutageEnded
        from petrelwood.store import state_segments as store
        from petrelwood.store.errors import StateUnreadableError

        try:
            records, _ = store.read(folder)
        except StateUnreadableError as error:
            raise click.ClickException(str(error)) from None
        replayed = recovery.replay(records, max((r.time for r in records), default=0), "", True)
        matching = [
            k
            for k in replayed.activations.values()
            if (id_ is None or k.key[1] == id_)
            and customer in (None, k.key[0])
            and (not only_open or k.outcome == ledger.ActivationState.RUNNING)
        ]
        matching.sort(key=lambda k: k.last_at)
        for known in matching[-rows:]:
            outcome_text = (
                "may have run, no outcome kept"
                if known.outcome == ledger.ActivationState.RUNNING
                else known.outcome
            )
            if as_json:
                click.echo(
                    json.dumps(
                        {
                            "customer": known.key[0],
                            "id": known.key[1],
                            "type": known.type_name,
                            "at": known.last_at,
                            "outcome": known.outcome,
                            "sent": known.may_have_run,
                        }
                    )
                )
            else:
                click.echo(
                    f"{_format_time(known.last_at)}  {known.key[0]}/{known.key[1]}  {known.type_name}  "
                    f"{outcome_text}"
                )
        if not as_json:
            for record in records:
                if isinstance(record, OutageEnded):
                    since = _format_time(record.failed_at)
                    click.echo(
                        f"{_format_time(record.time)}  recovered, had failed since {since}: {record.cause}"
                    )
            click.echo(
                f"{len(matching)} ids, {len(replayed.order_times)} load orders; the last life "
                + ("ended in order" if replayed.ended_cleanly else "was cut short")
            )

    @command(state, "verify")
    @folder_argument
    def verify(folder):
        """Reads everything: exit 0 if all is whole, else 1 and what is not."""
        from petrelwood.store import state_segments as store
        from petrelwood.store.errors import StateUnreadableError

        problems = []
        for _, _, path in store.segments(folder):
            try:
                _, intact_size, damage = store.scan(path)
            except StateUnreadableError as error:
                problems.append(str(error))
                continue
            if damage:
                problems.append(f"{path}: {damage}, {path.stat().st_size - intact_size} bytes after it")
        for line in problems:
            click.echo(line)
        click.echo(
            "all is whole"
            if not problems
            else f"{len(problems)} segments are not whole; a start drops what follows, or see `repair`"
        )
        sys.exit(1 if problems else 0)

    @command(state, "repair")
    @folder_argument
    def repair(folder):
        """Cuts segments where they end being whole, and puts aside what can't be read. No dispatcher may be
        running on it."""
        from petrelwood.store import state_segments as store

        for path, size, _ in store.repair(folder):
            click.echo(f"{path}: {size} bytes " + ("put aside" if path.suffix == ".unreadable" else "cut"))
        click.echo("done")

    @command(state, "compact")
    @folder_argument
    @click.option("--keep", default=1200.0, show_default=True, help="seconds that ids are remembered for")
    def compact(folder, keep):
        """Removes segments of which nothing is remembered any more. No dispatcher may be running on it."""
        from petrelwood.store import state_segments as store

        segment_files = store.segments(folder)
        last_times = {path: max((r.time for r in read(path)[0]), default=0) for _, _, path in segment_files}
        newest, removed = max(last_times.values(), default=0), 0
        for _, _, path in segment_files[:-1]:
            if last_times[path] < newest - keep * 1e9:
                pathlib.Path(path).unlink()
                removed += 1
        click.echo(f"{removed} of {len(segment_files)} segments removed")

    @command(state, "search")
    @click.option(
        "--asks", type=click.IntRange(1, 4), default=2, show_default=True, help="times that the client signs"
    )
    @click.option(
        "--kills",
        type=click.IntRange(0, 3),
        default=1,
        show_default=True,
        help="of the process, or falls of the machine",
    )
    @click.option(
        "--most", type=click.IntRange(1), default=400_000, show_default=True, help="states of each world"
    )
    def search(asks, kills, most):
        """Goes through every order of events in a small world of client, dispatcher, log, network and worker;
        exit 1 if a rule breaks."""
        from petrelwood.lab import walk

        failed = False
        for effect in walk.KINDS:
            for durability in ("process", "machine"):
                seen, violation, is_complete = walk.search(effect, durability, asks, kills, most=most)
                failed = failed or violation is not None
                click.echo(
                    f"{effect:13s} {durability:8s} {seen:>8d} states{'' if is_complete else ', not all'}: "
                    + (f"{violation.what}: {' -> '.join(violation.steps)}" if violation else "all holds")
                )
        sys.exit(1 if failed else 0)
