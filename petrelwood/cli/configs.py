"""Commands on settings: check, lay out, compare, explain."""

import difflib
import json
import pathlib
import re
import sys

import click

SECRET = ("key", "password")
HIDDEN = re.compile(r'(whsec_|whpk_|password ")[^"\n]*')


def _described(path, values=None):
    """A gateway that is right, or one error for each thing that is wrong with it. `values`: as `gateway.read`
    has it."""
    from petrelwood.settings import gateway, validation

    errors, _, _ = validation.check(path)
    if errors:
        raise click.ClickException("\n".join(map(str, errors)) + f"\n{path} can't be used")
    return gateway.read(path, values=values)


def _marked(fault, texts):
    """The line that a fault names, with its column marked."""
    rows = texts.get(fault.file, "").split("\n")
    if not 0 < fault.line <= len(rows):
        return []
    row = rows[fault.line - 1]
    begin = max(0, fault.column - 1) if fault.column else len(row) - len(row.lstrip())
    if any(word in row for word in SECRET):  # what may be a secret is not shown
        row = row[: begin + 3] + "..."
    return [f"    {fault.line:5d} | {row[:110]}", f"          | {' ' * min(begin, 100)}^"]


def add(cli, command):
    @cli.group("config")
    def config():
        """A gateway's settings: check, lay out, compare, explain."""

    file = click.argument("file", type=click.Path(dir_okay=False))

    @command(config, "check")
    @file
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
                ("experiment", lambda found: experiment.described(found, pathlib.Path(file))),
                ("day", script.described),
            ),
        )
        for sort, faults in (("error", errors), ("warning", warnings)):
            for fault in faults:
                if as_json:
                    click.echo(
                        json.dumps(
                            {
                                "sort": sort,
                                "file": fault.file,
                                "line": fault.line,
                                "column": fault.column,
                                "what": fault.message,
                            }
                        )
                    )
                elif lint:
                    click.echo(f"{fault.file}:{fault.line}:{max(1, fault.column)}: {sort}: {fault.message}")
                else:
                    click.echo(f"{sort}: {fault}")
                    for row in _marked(fault, texts):
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
                found = layout.format_text(text)
            except SettingsError as fault:
                raise SettingsError(path, fault.line, fault.message) from None
            if found == text:
                continue
            changed += 1
            if only:
                rows = difflib.unified_diff(
                    text.splitlines(True), found.splitlines(True), name, f"{name}, laid out"
                )
                click.echo(HIDDEN.sub(r"\1...", "".join(rows)), nl=False)
                continue
            put(path, found.encode("utf-8"), path.stat().st_mode & 0o777)
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

        found = comparison.changes(_described(old), _described(new))
        for one in found:
            if as_json:
                click.echo(json.dumps(one.as_json_object()))
            else:
                click.echo(
                    f"- {one.description} ({one.takes_effect})" + (f"; risky: {one.risk}" if one.risk else "")
                )
        if not as_json:
            click.echo(
                f"{len(found)} changes; the version as a whole acts {comparison.takes_effect(found)}"
                if found
                else "nothing behaves otherwise"
            )
        if name:
            _estimated(old, new, name, seeds, as_json)

    def _estimated(old, new, name, seeds, as_json):
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
            sure = "" if seeds < 3 else "  (within noise)" if row.low <= 0 <= row.high else ""
            click.echo(
                f"  {row.figure:16s} {row.old:10.4g} -> {row.new:10.4g}   difference "
                f"{row.new - row.old:+.4g} "
                f"[{row.low:+.4g}, {row.high:+.4g}]{sure}"
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
        from petrelwood.settings import reference as made

        if only and to:
            same = pathlib.Path(to).exists() and pathlib.Path(to).read_text() == made.page()
            click.echo("it is up to date" if same else f"{to} is not what the program says")
            sys.exit(0 if same else 1)
        if to:
            click.echo(f"{to}: " + ("written" if made.write(to) else "as it was"))
        else:
            click.echo(made.page())

    @command(config, "complete")
    @file
    @click.argument("line", type=click.IntRange(1))
    @click.argument("column", type=click.IntRange(1))
    def complete(file, line, column):
        """What may come in FILE at LINE and COLUMN, for editors: a word and what it takes, tab between
        them."""
        from petrelwood.settings import completion, kdl

        for word, what in completion.completions(kdl.read_unchanging(pathlib.Path(file)), line, column, file):
            click.echo(f"{word}\t{what}")

    @command(config, "roll")
    @file
    @click.argument("folder", type=click.Path(file_okay=False))
    def roll(file, folder):
        """Announces FILE as the next version in FOLDER, which all dispatchers with `versions` read: stage by
        stage."""
        import time

        from petrelwood.settings import kdl
        from petrelwood.store import versions

        _described(file)
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
        versions.revoke(folder, number, "called off by hand")
        click.echo(f"version {number} is called off")

    def values(path):
        reads, seen = [], set()
        _described(path, reads)
        for key, value, place in reads:
            if key.split(" > ")[-1].split(" ")[0] in SECRET and place:
                value = "(secret)"
            if (key, place) not in seen:
                seen.add((key, place))
                yield key, value, place

    @command(config, "show")
    @file
    @click.option("--origins", is_flag=True, help="where each value stands, or that it is the default")
    @click.option("--resolved", is_flag=True, help="defaults too")
    def show(file, origins, resolved):
        """Each value of FILE and what it includes; secrets are not shown."""
        for key, value, place in values(file):
            if place or resolved:
                click.echo(
                    f"{key} = {value!r}"
                    + (f"    // {f'{place[0]}:{place[1]}' if place else 'default'}" if origins else "")
                )

    @command(config, "explain")
    @file
    @click.argument("key")
    def explain(file, key):
        """The values whose names have KEY in them, and where each comes from."""
        found = [(k, v, p) for k, v, p in values(file) if key in k]
        for name, value, place in found:
            click.echo(
                f"{name} = {value!r}: "
                + (f"set in {place[0]}:{place[1]}" if place else "the default; no file sets it")
            )
        if not found:
            near = difflib.get_close_matches(key, [k.split(" > ")[-1] for k, _, _ in values(file)], 1)
            raise click.ClickException(
                f"nothing is called '{key}'" + (f"; did you mean '{near[0]}'?" if near else "")
            )
