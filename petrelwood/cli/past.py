"""Commands on the history of use and on the forecasts made from it."""

import datetime
import json
import pathlib
import sys

import click


class TimeParam(click.ParamType):
    name = "TIME"

    def convert(self, value, param, ctx):
        if isinstance(value, int):
            return value
        try:
            time = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"'{value}' is no time like 2026-12-01T08:00", param, ctx)
        if time.tzinfo is None:
            time = time.replace(tzinfo=datetime.UTC)
        return int(time.timestamp()) * 10**9


def _format_time(time_ns):
    return datetime.datetime.fromtimestamp(time_ns / 1e9, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


def _time_range_options(function):
    for option in (
        click.option("--until", type=TimeParam(), default=1 << 62),
        click.option("--since", type=TimeParam(), default=0, help="UTC unless an offset is given"),
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
    @_time_range_options
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
                f"{_format_time(row['at'])}  {row['function']:24s} {row['customer']:12s} {row['hall']:8s} "
                f"{('warm', 'warm', 'began a load', 'waited for a load')[row['how']]:18s} "
                f"waited {row['waited_us'] / 1000:8.1f} ms  took {row['took_us'] / 1000:8.1f} ms"
            )
        click.echo(f"{len(table)} rows")

    @command(history, "export")
    @_time_range_options
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
        except (OSError, pyarrow.ArrowException) as error:
            raise click.ClickException(f"{file}: {str(error).splitlines()[0]}") from None
        wanted = [name for name, _ in store.COLUMNS]
        if sorted(table.column_names) != sorted(wanted):
            raise click.ClickException(f"{file} has other columns: {', '.join(table.column_names)}")
        history_store = History(folder)
        for row in table.select(wanted).to_pylist():
            history_store.note(
                row["at"],
                row["function"],
                row["customer"],
                row["hall"],
                row["how"],
                row["waited_us"] * 1000,
                row["took_us"] * 1000,
                row["load_us"] * 1000,
            )
        history_store.close()
        if history_store.stopped:
            raise click.ClickException(history_store.stopped)
        click.echo(f"{history_store.noted} rows taken")

    @command(history, "compact")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    def compact(folder):
        """One file a day. No dispatcher may be writing to the folder."""
        from petrelwood.store.history import History

        history_store = History(folder)
        before, after = history_store.compact()
        history_store.close()
        click.echo(f"{before} files became {after}")

    @command(history, "verify")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    def verify(folder):
        """Reads everything: exit 0 if all is whole, else 1 and what is wrong."""
        from petrelwood.store import history_files as store

        problems = store.verify(folder)
        for line in problems:
            click.echo(line)
        click.echo("all is whole" if not problems else f"{len(problems)} things are wrong")
        sys.exit(1 if problems else 0)

    @cli.group("forecast")
    def forecast():
        """Forecasts from a history: how good they would have been, and what one function is expected to
        do."""

    def forecast_options(function):
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
    @forecast_options
    @click.option("--json", "result", type=click.Path(dir_okay=False))
    def backtest(folder, slot, season, result):
        """Scores each method on the last third of the history, forecast slot by slot from what came
        before."""
        from petrelwood.lab import past

        backtest_result = past.backtest(folder, int(slot * 1e9), int(season * 1e9))
        if not backtest_result:
            raise click.ClickException("the history is too short: it needs three slots at least")
        for name, value in backtest_result["scores"].items():
            click.echo(f"{name:10s} mean score {value:.4f}")
        click.echo(
            f"{backtest_result['functions']} functions, {backtest_result['slots']} slots scored; believed: "
            + ", ".join(f"{k} {v}" for k, v in sorted(backtest_result["believed"].items()))
        )
        if result:
            pathlib.Path(result).write_text(json.dumps(backtest_result, indent=1))

    @command(forecast, "explain")
    @forecast_options
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
