"""Commands for service addresses: the BGP speaker, its status and messages, and the stand-in router."""

import asyncio
import json
import pathlib
import sys

import click


def add(cli, command, address):
    @cli.group("bgp")
    def bgp():
        """Service addresses by BGP: the speaker and its tools."""

    file_argument = click.argument("file", type=click.Path(dir_okay=False))

    @command(bgp, "speak")
    @file_argument
    @click.option(
        "--status",
        type=click.Path(dir_okay=False),
        default="",
        help="a file for its figures, renewed each second",
    )
    @click.option("--log", type=click.Choice(["json", "text"]), default="json", show_default=True)
    @click.option(
        "--level", default="info", show_default=True, type=click.Choice(["debug", "info", "warning", "error"])
    )
    def speak(file, status, log, level):
        """Announces the addresses in FILE (KDL) while the dispatcher beside it can serve, until SIGTERM."""
        from petrelwood.bgp import run
        from petrelwood.cli.logs import open_log
        from petrelwood.settings import speaker

        settings = speaker.read(file)
        sys.exit(run.run(settings, open_log(log, level, speaker=settings.name), status))

    def read_status(status):
        try:
            return json.loads(pathlib.Path(status).read_text())
        except (OSError, ValueError) as error:
            raise click.ClickException(f"{status} can't be read: {error}") from None

    @command(bgp, "peers")
    @click.argument("status", type=click.Path(exists=True, dir_okay=False))
    def peers(status):
        """Sessions of a speaker, from its STATUS file."""
        fields = read_status(status)
        click.echo(
            f"level {fields['level']}"
            + (f": {fields['why']}" if fields["why"] else "")
            + f"; gone {fields['flaps']} times"
        )
        for name, peer in fields["peers"].items():
            click.echo(
                f"{name:16s} {peer['state']:13s} told {peer['told']}, "
                f"routes {peer['routes']}, up {peer['up']}, down {peer['down']}, notes {peer['notes']}"
                + (f"; {peer['why']}" if peer["why"] else "")
            )

    @command(bgp, "routes")
    @file_argument
    @click.option("--level", type=click.Choice(["full", "less"]), default="full", show_default=True)
    def routes(file, level):
        """What FILE's speaker announces at a level, as attributes."""
        from petrelwood.decide.bgp import announcement
        from petrelwood.settings import speaker
        from petrelwood.wire import bgp as wire

        settings = speaker.read(file)
        for service in settings.services:
            print_route(wire, service.prefix, announcement.attributes(service, level, settings.asn))

    @command(bgp, "decode")
    @click.argument("data", type=click.File("rb"), default="-")
    @click.option("--two", is_flag=True, help="AS numbers have two octets on this session")
    def decode(data, two):
        """Messages in DATA (bytes, or hex) in words; exit 1 where one is wrong."""
        from petrelwood.wire import bgp as wire

        raw = data.read()
        try:
            raw = bytes.fromhex(raw.decode("ascii"))
        except (UnicodeDecodeError, ValueError):
            pass
        reader = wire.Reader()
        reader.most = wire.EXTENDED
        try:
            for kind, body in reader.feed(raw):
                click.echo(f"{wire.NAMES[kind]} {wire.HEAD + len(body)} octets")
                if kind == wire.OPEN:
                    click.echo(f"  {wire.read_open(body)}")
                elif kind == wire.NOTIFICATION:
                    notification = wire.read_notification(body)
                    click.echo(f"  {notification.code}/{notification.sub} {notification.text()}")
                elif kind == wire.UPDATE:
                    update = wire.read_update(body, not two)
                    for prefix in update.withdrawn:
                        click.echo(f"  withdrawn {wire.shown(prefix)}")
                    for prefix in update.announced:
                        print_route(wire, prefix, update.attrs)
                    for note in update.notes:
                        click.echo(f"  note: {note}")
        except wire.Wrong as error:
            raise click.ClickException(f"NOTIFICATION {error.code}/{error.sub}: {error}") from None
        if reader.data:
            raise click.ClickException(f"{len(reader.data)} octets are left: a message is cut short")

    def print_route(wire, prefix, attrs):
        import ipaddress

        path = " ".join(
            f"{{{','.join(map(str, asns))}}}" if kind == wire.SET else " ".join(map(str, asns))
            for kind, asns in attrs.path
        )
        click.echo(
            f"  {wire.shown(prefix)} next hop {ipaddress.ip_address(attrs.next_hop)}, path {path or 'empty'}"
            + (f", MED {attrs.med}" if attrs.med is not None else "")
            + (
                f", communities {' '.join(f'{c >> 16}:{c & 0xFFFF}' for c in attrs.communities)}"
                if attrs.communities
                else ""
            )
        )

    @command(cli, "router")
    @click.option("--listen", type=address, default="127.0.0.1:0", show_default=True)
    @click.option("--asn", type=click.IntRange(1, (1 << 32) - 1), default=65000, show_default=True)
    @click.option("--id", "id_", type=click.IntRange(1, (1 << 32) - 1), default=1, show_default=True)
    @click.option("--hold", type=int, default=9, show_default=True, help="seconds")
    @click.option("--watch", type=address, help="tell who connects there what each prefix goes to")
    @click.option(
        "--records",
        type=click.Path(file_okay=False),
        default="",
        help="where to write what it saw, in place of printing it",
    )
    def router(listen, asn, id_, hold, watch, records):
        """A stand-in router: takes BGP sessions, prints what it sees; orders come on standard input, a JSON
        object a line."""
        from petrelwood.standins import router as standin

        asyncio.run(standin.serve(listen, asn, id_, hold, watch, records))
