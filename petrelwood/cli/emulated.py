"""Commands on the emulator: play a day, compare it with a run over sockets, run experiments."""

import asyncio
import json
import pathlib
import sys
import tempfile
import time

import click


def print_figures(console, row, title):
    from rich.table import Table

    table = Table(title=title)
    for heading in ("figure", "value"):
        table.add_column(heading, justify="left" if heading == "figure" else "right")
    for name, value in row.items():
        table.add_row(name, f"{value:.3f}" if isinstance(value, float) else str(value))
    console.print(table)


def add(cli, find, command):
    """Add the subcommands to `cli`; `find` reads a day by name."""
    from petrelwood.emulate import policies

    @command(cli, "emulate")
    @click.argument("script")
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option(
        "--policy",
        type=click.Choice(list(policies.named())),
        default="petrelwood",
        show_default=True,
        help="baselines are for comparison only",
    )
    @click.option("--json", "result", type=click.Path(dir_okay=False))
    @click.option(
        "--account",
        type=click.Path(file_okay=False),
        help="a folder for the ends of early loads, as `forecast account` reads them",
    )
    def emulate(script, seed, policy, result, account):
        """Plays SCRIPT in virtual time and judges it: exit 0 only if every rule held and all adds up."""
        from petrelwood.cli import show
        from petrelwood.emulate import result as results
        from petrelwood.emulate.platform import Platform

        day, started = find(script), time.monotonic()
        platform = Platform(day, seed, policies.named()[policy])
        if account:
            platform.keep_account(account)
        platform.run()
        elapsed, row, problems = (
            time.monotonic() - started,
            results.row(platform),
            results.conserved(platform),
        )
        from rich.console import Console

        console = Console(highlight=False, width=None if sys.stdout.isatty() else 118)
        print_figures(
            console, row, f"day '{day.name}' in the emulator, seed {seed}, {policy} (simulated servers)"
        )
        console.print(f"{platform.events} events in {elapsed:.1f} s")
        for line in problems[:5]:
            console.print(f"[red]does not add up: {line}[/]")
        code = show.print_verdict(platform.case(), day, seed, result)
        sys.exit(code or bool(problems))

    @command(cli, "compare")
    @click.argument("script")
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option("--json", "result", type=click.Path(dir_okay=False))
    def compare(script, seed, result):
        """Plays SCRIPT over sockets and in the emulator, and tells how far the two differ and where."""
        from rich.console import Console
        from rich.table import Table

        from petrelwood.lab import day as lab
        from petrelwood.lab import difference

        day = find(script)
        with tempfile.TemporaryDirectory(prefix="petrelwood-") as folder:
            run = lab.Run(day, seed, folder)
            try:
                asyncio.run(run.play())
            except lab.DayFailed as error:
                raise click.ClickException(str(error)) from None
            differences = difference.between(day, seed, run.case())
        table = Table(title=f"day '{day.name}', seed {seed}: over sockets and emulated")
        for heading in ("figure", "sockets", "emulated", "difference"):
            table.add_column(heading, justify="left" if heading == "figure" else "right")
        for name, (real, emulated) in differences.items():
            table.add_row(name, f"{real:.3f}", f"{emulated:.3f}", f"{emulated - real:+.3f}")
        Console(highlight=False, width=None if sys.stdout.isatty() else 118).print(table)
        if result:
            pathlib.Path(result).write_text(
                json.dumps({"day": day.name, "seed": seed, "figures": differences}, indent=1)
            )

    @cli.group("experiment")
    def experiment():
        """Factors x levels x seeds on the emulator, over all cores; tables, charts, a report."""

    @command(experiment, "run")
    @click.argument("file", type=click.Path(dir_okay=False))
    @click.option("--out", type=click.Path(file_okay=False), required=True)
    @click.option("--jobs", type=click.IntRange(1), default=None, help="as many as cores if not given")
    def run(file, out, jobs):
        """Runs the experiment in FILE, or what is left of it."""
        from petrelwood.lab import experiment as lab

        experiment_settings = lab.read(file)
        done, failed = lab.run(
            experiment_settings, pathlib.Path(out), jobs, lambda text: click.echo(text, err=True)
        )
        click.echo(f"{done} runs stand in {out}, {failed} of them failed")
        sys.exit(1 if failed else 0)

    @command(experiment, "table")
    @click.argument("out", type=click.Path(exists=True, file_okay=False))
    @click.option("--figure", default="service", show_default=True)
    @click.option("--by", "factor", help="compare the levels of this factor instead of the policies")
    def table(out, figure, factor):
        """Paired differences from the first policy, or level, with bootstrap intervals and Holm's
        correction."""
        from petrelwood.lab import experiment as lab

        try:
            for line in lab.table_lines(pathlib.Path(out), figure, factor):
                click.echo(line)
        except KeyError as error:
            raise click.ClickException(f"there is no figure or factor {error}") from None

    @command(experiment, "report")
    @click.argument("out", type=click.Path(exists=True, file_okay=False))
    @click.option(
        "--to", type=click.Path(dir_okay=False), required=True, help="one HTML file that needs no network"
    )
    @click.option("--figure", "figures", multiple=True, default=("service", "worst 5 s", "p99 ms", "fetched"))
    @click.option("--by", "factor", help="compare the levels of this factor instead of the policies")
    def report(out, to, figures, factor):
        """Tables and charts in one file."""
        from petrelwood.lab import report as lab

        lab.write(pathlib.Path(out), pathlib.Path(to), figures, factor)
        click.echo(f"written: {to}")

    @command(experiment, "chart")
    @click.argument("out", type=click.Path(exists=True, file_okay=False))
    @click.option(
        "--kind",
        type=click.Choice(["bars", "times", "stages", "course", "heat", "curves"]),
        default="bars",
        show_default=True,
    )
    @click.option("--to", type=click.Path(dir_okay=False), required=True, help="a PNG, SVG or PDF file")
    @click.option("--figure", default="service", show_default=True, help="for bars and curves")
    @click.option("--policy", help="for course and heat")
    @click.option("--seed", type=int, help="for course and heat")
    @click.option("--factor", help="for curves")
    def chart(out, kind, to, figure, policy, seed, factor):
        """One chart: a figure by day and policy, times, where the time went, a day's course, heat by worker,
        curves."""
        from petrelwood.lab import report as lab

        try:
            lab.chart(pathlib.Path(out), to, kind, figure, policy, seed, factor)
        except KeyError as error:
            raise click.ClickException(f"there is no figure {error}") from None
        except ValueError as error:  # a file format that charts can't be written in
            raise click.ClickException(str(error)) from None
        click.echo(f"written: {to}")

    @command(experiment, "search")
    @click.argument("file", type=click.Path(dir_okay=False))
    @click.option("--runs", type=click.IntRange(1), default=40, show_default=True)
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option("--keep", type=click.Path(file_okay=False), required=True, help="where found scripts go")
    def search(file, runs, seed, keep):
        """Draws troubles for the day in FILE, looks for the worst and for broken rules, and shrinks what it
        finds."""
        from petrelwood.lab import search as lab

        for line in lab.search(file, runs, seed, pathlib.Path(keep), lambda text: click.echo(text, err=True)):
            click.echo(line)
