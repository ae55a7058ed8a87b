"""Commands on settings files: check, format, compare and explain them, and roll out versions."""

import difflib
import json
import pathlib
import re
import sys

import click

SECRET_NAMES = ("key", "password")
SECRET_VALUE = re.compile(r'(whsec_|whpk_|password ")[^"\n]*')


def _valid_settings(path, values=None):
    """Return the gateway that a file describes, or raise an exception that lists all its errors.

    `values` receives the values as in `gateway.read`.
    """
    from petrelwood.settings import gateway, validation

    errors, _, _ = validation.check(path)
    if errors:
        raise click.ClickException("\n".join(map(str, errors)) + f"\n{path} can't be used")
    return gateway.read(path, values=values)


def _source_lines(error, texts):
    """Return the source line of an error and a line that marks its column."""
    rows = texts.get(error.file, "").split("\n")
    if not 0 < error.line <= len(rows):
        return []
    row = rows[error.line - 1]
    start = max(0, error.column - 1) if error.column else len(row) - len(row.lstrip())
    if any(word in row for word in SECRET_NAMES):  # the line may contain a secret
        row = row[: start + 3] + "..."
    return [f"    {error.line:5d} | {row[:110]}", f"          | {' ' * min(start, 100)}^"]


def add(cli, command):
    @cli.group("config")
    def config():
        """A gateway's settings: check, lay out, compare, explain."""

    file_argument = click.argument("file", type=click.Path(dir_okay=False))

    @command(config, "check")
    @file_argument
    @click.option("--json", "as_json", is_flag=True, help="a JSON object for each problem")
    @click.option("--lint", is_flag=True, help="file:line:column: error: what, as editors read it")
    @click.option("--strict", is_flag=True, help="warnings fail too")
    def check(file, as_json, lint, strict):
        """All that is wrong with FILE (a gateway's, a day or an experiment) and what it includes, each once;
        exit 1 if there are errors."""
        from petrelwood.emulate import script
        from petrelwood.lab import experiment
        from petrelwood.settings import validation

        errors, warnings, texts = validation.check(
            file,
            others=(
                ("experiment", lambda node: experiment.described(node, pathlib.Path(file))),
                ("day", script.described),
            ),
        )
        for severity, problems in (("error", errors), ("warning", warnings)):
            for error in problems:
                if as_json:
                    click.echo(
                        json.dumps(
                            {
                                "sort": severity,
                                "file": error.file,
                                "line": error.line,
                                "column": error.column,
                                "what": error.message,
                            }
                        )
                    )
                elif lint:
                    click.echo(
                        f"{error.file}:{error.line}:{max(1, error.column)}: {severity}: {error.message}"
                    )
                else:
                    click.echo(f"{severity}: {error}")
                    for row in _source_lines(error, texts):
                        click.echo(row)
        if not as_json and not lint:
            click.echo(f"{len(errors)} errors, {len(warnings)} warnings in {len(texts)} files")
        sys.exit(1 if errors or strict and warnings else 0)

    @command(config, "fmt")
    @click.argument("files", type=click.Path(dir_okay=False), nargs=-1, required=True)
    @click.option(
        "--check", "only", is_flag=True, help="change nothing; exit 1 where a file would change, and show how"
    )
    def fmt(files, only):
        """Gives FILES the one layout; comments and meaning stay."""
        from petrelwood.settings import kdl, layout
        from petrelwood.settings.errors import SettingsError
        from petrelwood.store.snapshot import put

        changed = 0
        for name in files:
            path = pathlib.Path(name)
            text = kdl.read_unchanging(path)
            try:
                formatted = layout.format_text(text)
            except SettingsError as error:
                raise SettingsError(path, error.line, error.message) from None
            if formatted == text:
                continue
            changed += 1
            if only:
                rows = difflib.unified_diff(
                    text.splitlines(True), formatted.splitlines(True), name, f"{name}, laid out"
                )
                click.echo(SECRET_VALUE.sub(r"\1...", "".join(rows)), nl=False)
                continue
            put(path, formatted.encode("utf-8"), path.stat().st_mode & 0o777)
            click.echo(f"{name}: laid out")
        sys.exit(1 if only and changed else 0)

    @command(config, "diff")
    @click.argument("old", type=click.Path(dir_okay=False))
    @click.argument("new", type=click.Path(dir_okay=False))
    @click.option("--json", "as_json", is_flag=True)
    @click.option("--day", "name", help="play this day under both in the emulator, too")
    @click.option(
        "--seeds", type=click.IntRange(1, 64), default=5, show_default=True, help="with --day: paired runs"
    )
    def diff(old, new, as_json, name, seeds):
        """What behaves otherwise under NEW than under OLD, when it acts, and what is risky under load."""
        from petrelwood.settings import comparison

        differences = comparison.changes(_valid_settings(old), _valid_settings(new))
        for change in differences:
            if as_json:
                click.echo(json.dumps(change.as_json_object()))
            else:
                click.echo(
                    f"- {change.description} ({change.takes_effect})"
                    + (f"; risky: {change.risk}" if change.risk else "")
                )
        if not as_json:
            click.echo(
                f"{len(differences)} changes; the version as a whole acts "
                f"{comparison.takes_effect(differences)}"
                if differences
                else "nothing behaves otherwise"
            )
        if name:
            print_estimate(old, new, name, seeds, as_json)

    def print_estimate(old, new, name, seeds, as_json):
        from petrelwood.lab import estimate

        rows, broken, carried = estimate.estimate(old, new, name, range(1, seeds + 1))
        if as_json:
            for row in rows:
                click.echo(json.dumps({"day": name, "seeds": seeds, **row._asdict()}))
            click.echo(json.dumps({"day": name, "carried": carried, "broken": broken}))
            return
        click.echo(
            f"\non day '{name}', {seeds} paired seeds, simulated servers; of NEW taken: "
            f"{', '.join(carried['new'])}"
        )
        for row in rows:
            note = "" if seeds < 3 else "  (within noise)" if row.low <= 0 <= row.high else ""
            click.echo(
                f"  {row.figure:16s} {row.old:10.4g} -> {row.new:10.4g}   difference "
                f"{row.new - row.old:+.4g} "
                f"[{row.low:+.4g}, {row.high:+.4g}]{note}"
            )
        for side, lines in broken.items():
            for line in lines[:3]:
                click.echo(f"  under {side.upper()} a rule broke: {line}")

    @command(config, "reference")
    @click.option("--to", type=click.Path(dir_okay=False), help="write it there in place of printing it")
    @click.option(
        "--check", "only", is_flag=True, help="with --to: exit 1 where the page there says something else"
    )
    def reference(to, only):
        """The reference of a gateway's file, made from what the decoding asks for."""
        from petrelwood.settings import reference as reference_page

        if only and to:
            is_current = pathlib.Path(to).exists() and pathlib.Path(to).read_text() == reference_page.page()
            click.echo("it is up to date" if is_current else f"{to} is not what the program says")
            sys.exit(0 if is_current else 1)
        if to:
            click.echo(f"{to}: " + ("written" if reference_page.write(to) else "as it was"))
        else:
            click.echo(reference_page.page())

    @command(config, "complete")
    @file_argument
    @click.argument("line", type=click.IntRange(1))
    @click.argument("column", type=click.IntRange(1))
    def complete(file, line, column):
        """What may come in FILE at LINE and COLUMN, for editors: a word and what it takes, tab between
        them."""
        from petrelwood.settings import completion, kdl

        for word, what in completion.completions(kdl.read_unchanging(pathlib.Path(file)), line, column, file):
            click.echo(f"{word}\t{what}")

    @command(config, "roll")
    @file_argument
    @click.argument("folder", type=click.Path(file_okay=False))
    def roll(file, folder):
        """Announces FILE as the next version in FOLDER, which all dispatchers with `versions` read: stage by
        stage."""
        import time

        from petrelwood.settings import kdl
        from petrelwood.store import versions

        _valid_settings(file)
        number = versions.announce(folder, kdl.read_unchanging(pathlib.Path(file)), time.time_ns())
        click.echo(f"version {number} is announced in {folder}")

    @command(config, "off")
    @click.argument("folder", type=click.Path(exists=True, file_okay=False))
    @click.argument("number", type=click.IntRange(1))
    def off(folder, number):
        """Calls version NUMBER off: who has it goes back, nobody else takes it."""
        from petrelwood.store import versions

        if number not in {a.number for a in versions.announced(folder)}:
            raise click.ClickException(f"{folder} has no version {number}")
        versions.call_off(folder, number, "called off by hand")
        click.echo(f"version {number} is called off")

    def read_values(path):
        all_values, seen = [], set()
        _valid_settings(path, all_values)
        for key, value, origin in all_values:
            if key.split(" > ")[-1].split(" ")[0] in SECRET_NAMES and origin:
                value = "(secret)"
            if (key, origin) not in seen:
                seen.add((key, origin))
                yield key, value, origin

    @command(config, "show")
    @file_argument
    @click.option("--origins", is_flag=True, help="where each value stands, or that it is the default")
    @click.option("--resolved", is_flag=True, help="defaults too")
    def show(file, origins, resolved):
        """Each value of FILE and what it includes; secrets are not shown."""
        for key, value, origin in read_values(file):
            if origin or resolved:
                click.echo(
                    f"{key} = {value!r}"
                    + (f"    // {f'{origin[0]}:{origin[1]}' if origin else 'default'}" if origins else "")
                )

    @command(config, "explain")
    @file_argument
    @click.argument("key")
    def explain(file, key):
        """The values whose names have KEY in them, and where each comes from."""
        matching = [(k, v, o) for k, v, o in read_values(file) if key in k]
        for name, value, origin in matching:
            click.echo(
                f"{name} = {value!r}: "
                + (f"set in {origin[0]}:{origin[1]}" if origin else "the default; no file sets it")
            )
        if not matching:
            similar = difflib.get_close_matches(key, [k.split(" > ")[-1] for k, _, _ in read_values(file)], 1)
            raise click.ClickException(
                f"nothing is called '{key}'" + (f"; did you mean '{similar[0]}'?" if similar else "")
            )
