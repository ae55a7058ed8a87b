"""Commands on the history of use and on forecasts from it."""

import datetime
import json
import pathlib
import sys

import click


class When(click.ParamType):
    name = "TIME"

    def convert(self, value, param, ctx):
        if isinstance(value, int):
            return value
        try:
            found = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"'{value}' is no time like 2026-12-01T08:00", param, ctx)
        if found.tzinfo is None:
            found = found.replace(tzinfo=datetime.UTC)
        return int(found.timestamp()) * 10**9


def _shown(at):
    return datetime.datetime.fromtimestamp(at / 1e9, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


def _between(function):
    for option in (
        click.option("--until", type=When(), default=1 << 62),
        click.option("--since", type=When(), default=0, help="UTC unless an offset is given"),
        click.argument("folder", type=click.Path(exists=True, file_okay=False)),
    ):
        function = option(function)
    return function


def add(cli, command):
    @cli.group("history")
    def history():
        """What was called, when and how it went: the columns that a dispatcher keeps."""

    @command(history, "ls")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    def ls(folder):
        """The files, their rows and sizes."""
        import pyarrow.parquet

        for path in sorted(pathlib.Path(folder).glob("day=*/rows-*.parquet")):
            click.echo(
                f"{path.parent.name[4:]}  {pyarrow.parquet.read_metadata(path).num_rows:>9} rows  "
                f"{path.stat().st_size:>10} bytes  {path.name}"
            )
        for path in sorted(pathlib.Path(folder).glob("tail-*.log")):
            click.echo(f"tail        {'':>9}       {path.stat().st_size:>10} bytes  {path.name}")

    @command(history, "show")
    @_between
    @click.option("--function", default="")
    @click.option("--rows", type=click.IntRange(1), default=20, show_default=True)
    def show(folder, since, until, function, rows):
        """The last rows, or those of one function, and a count by how they went."""
        from petrelwood.store import history_files as store

        table = store.read(folder, since, until)
        if function:
            import pyarrow.compute

            table = table.filter(pyarrow.compute.equal(table["function"], function))
        for row in table.slice(max(0, len(table) - rows)).to_pylist():
            click.echo(
                f"{_shown(row['at'])}  {row['function']:24s} {row['customer']:12s} {row['hall']:8s} "
                f"{('warm', 'warm', 'began a load', 'waited for a load')[row['how']]:18s} "
                f"waited {row['waited_us'] / 1000:8.1f} ms  took {row['took_us'] / 1000:8.1f} ms"
            )
        click.echo(f"{len(table)} rows")

    @command(history, "export")
    @_between
    @click.option("--to", type=click.Path(dir_okay=False), required=True, help="one Parquet file")
    def export(folder, since, until, to):
        """All rows of a time as one file."""
        import pyarrow.parquet

        from petrelwood.store import history_files as store

        table = store.read(folder, since, until)
        pyarrow.parquet.write_table(table, to, compression="zstd")
        click.echo(f"{len(table)} rows in {to}")

    @command(history, "import")
    @click.argument("folder", type=click.Path(file_okay=False))
    @click.argument("file", type=click.Path(exists=True, dir_okay=False))
    def import_(folder, file):
        """Takes the rows of a Parquet file that `export` wrote."""
        import pyarrow
        import pyarrow.parquet

        from petrelwood.store import history_files as store
        from petrelwood.store.history import History

        try:
            table = pyarrow.parquet.read_table(file)
        except (OSError, pyarrow.ArrowException) as fault:
            raise click.ClickException(f"{file}: {str(fault).splitlines()[0]}") from None
        wanted = [name for name, _ in store.COLUMNS]
        if sorted(table.column_names) != sorted(wanted):
            raise click.ClickException(f"{file} has other columns: {', '.join(table.column_names)}")
        made = History(folder)
        for row in table.select(wanted).to_pylist():
            made.note(
                row["at"],
                row["function"],
                row["customer"],
                row["hall"],
                row["how"],
                row["waited_us"] * 1000,
                row["took_us"] * 1000,
                row["load_us"] * 1000,
            )
        made.close()
        if made.stopped:
            raise click.ClickException(made.stopped)
        click.echo(f"{made.noted} rows taken")

    @command(history, "compact")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    def compact(folder):
        """One file a day. No dispatcher may be writing to the folder."""
        from petrelwood.store.history import History

        made = History(folder)
        before, after = made.compact()
        made.close()
        click.echo(f"{before} files became {after}")

    @command(history, "verify")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    def verify(folder):
        """Reads everything: exit 0 if all is whole, else 1 and what is wrong."""
        from petrelwood.store import history_files as store

        wrong = store.verify(folder)
        for line in wrong:
            click.echo(line)
        click.echo("all is whole" if not wrong else f"{len(wrong)} things are wrong")
        sys.exit(1 if wrong else 0)

    @cli.group("forecast")
    def forecast():
        """Forecasts from a history: how good they would have been, and what one function is expected to
        do."""

    def options(function):
        for option in (
            click.option("--season", default=86_400.0, show_default=True, help="seconds; a day"),
            click.option("--slot", default=600.0, show_default=True, help="seconds"),
            click.argument("folder", type=click.Path(exists=True, file_okay=False)),
        ):
            function = option(function)
        return function

    @command(forecast, "account")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    @click.option(
        "--by",
        type=click.Choice(["function", "hall", "worker", "hour"]),
        default="function",
        show_default=True,
    )
    @click.option("--rows", type=click.IntRange(1), default=12, show_default=True)
    @click.option(
        "--chart", type=click.Path(dir_okay=False), help="also draw the loads ahead on a time line (PNG)"
    )
    def account(folder, by, rows, chart):
        """How early loads ended, what they saved and cost; the worst first."""
        from petrelwood.lab import past

        for line in past.account(folder, by, rows, chart):
            click.echo(line)

    @command(forecast, "backtest")
    @options
    @click.option("--json", "result", type=click.Path(dir_okay=False))
    def backtest(folder, slot, season, result):
        """Scores each method on the last third of the history, forecast slot by slot from what came
        before."""
        from petrelwood.lab import past

        found = past.backtest(folder, int(slot * 1e9), int(season * 1e9))
        if not found:
            raise click.ClickException("the history is too short: it needs three slots at least")
        for name, value in found["scores"].items():
            click.echo(f"{name:10s} mean score {value:.4f}")
        click.echo(
            f"{found['functions']} functions, {found['slots']} slots scored; believed: "
            + ", ".join(f"{k} {v}" for k, v in sorted(found["believed"].items()))
        )
        if result:
            pathlib.Path(result).write_text(json.dumps(found, indent=1))

    @command(forecast, "explain")
    @options
    @click.argument("function")
    @click.option(
        "--chart", type=click.Path(dir_okay=False), help="also draw its use and forecast with a band (PNG)"
    )
    def explain(folder, slot, season, function, chart):
        """What is expected of FUNCTION next, by which method and why."""
        from petrelwood.lab import past

        try:
            for line in past.explain(folder, int(slot * 1e9), int(season * 1e9), function, chart):
                click.echo(line)
        except KeyError:
            raise click.ClickException(f"the history has no function '{function}'") from None
