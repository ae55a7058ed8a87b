"""`petrelwood configuration`: the servers that versions of the settings come from, and what is told to
them."""

import asyncio
import functools
import json
import pathlib
import secrets
import sys
import time

import click

from petrelwood.settings.errors import SettingsError

APPEND_WITHIN = 5.0  # seconds for one server's answer; over `log_proposal.QUORUM_TIMEOUT`


def add(cli, command, address):
    """Adds the group to `cli`; `address` is the type of HOST:PORT options."""

    @cli.group("configuration")
    def configuration():
        """Versions of the settings on servers of their own (docs/configuration.md)."""

    @command(configuration, "serve")
    @click.option("--name", required=True, help="this server's, the same for its whole life")
    @click.option("--listen", type=address, required=True)
    @click.option("--peer", "peers", multiple=True, metavar="NAME=HOST:PORT", help="each other server")
    @click.option("--folder", type=click.Path(file_okay=False), required=True, help="where its log is kept")
    @click.option(
        "--new-log-after",
        type=click.IntRange(0),
        help="begin a new log after this slot; on all servers, once. Without it and without a log in the "
        "folder the server has lost its disk, and learns from the others",
    )
    @click.option("--level", default="info", type=click.Choice(["debug", "info", "warning", "error"]))
    def serve(name, listen, peers, folder, new_log_after, level):
        """Runs one configuration server until SIGTERM."""
        from petrelwood.cli.logs import open_log
        from petrelwood.control import service
        from petrelwood.control.errors import LogStorageError

        found = {}
        for one in peers:
            peer, _, where = one.partition("=")
            if not peer or peer == name or peer in found:
                raise click.BadParameter(f"'{one}' names no other server once", param_hint="--peer")
            found[peer] = address.convert(where, None, None)
        if len(found) % 2:
            raise click.BadParameter(
                "an odd number of servers, this one among them, has a quorum that an even number adds "
                "nothing to",
                param_hint="--peer",
            )
        try:
            asyncio.run(
                service.serve(
                    name, listen, found, folder, new_log_after, open_log("json", level, server=name), _ready
                )
            )
        except LogStorageError as fault:
            _end(str(fault))
        except OSError as fault:
            _end(f"can't listen on {listen[0]}:{listen[1]}: {fault.strerror}")

    def told(function):
        """A command that tells the servers something."""

        @click.option("--server", "servers", type=address, multiple=True, required=True, help="any of them")
        @click.option("--id", "id_", default="", help="told again under its id, a record is not told twice")
        @functools.wraps(function)
        def made(**words):
            return function(**words)

        return made

    @command(configuration, "publish")
    @click.argument("file", type=click.Path(dir_okay=False))
    @told
    def publish(file, servers, id_):
        """Publishes FILE as the next version for all dispatchers."""
        from petrelwood.decide.cluster.log_records import MAX_TEXT_SIZE, Record, RecordKind, compress_text
        from petrelwood.settings import gateway, kdl

        gateway.read(file)
        text = kdl.read_unchanging(pathlib.Path(file))
        if len(text.encode("utf-8")) > MAX_TEXT_SIZE:
            raise SettingsError(file, 0, f"a version has {MAX_TEXT_SIZE} bytes at most")
        record_id = id_ or secrets.token_hex(8)
        record = Record(record_id, RecordKind.VERSION, 0, time.time_ns(), compress_text(text))
        click.echo(f"version {_appended(servers, record)} is published")

    @command(configuration, "revoke")
    @click.argument("number", type=click.IntRange(1))
    @told
    def revoke(number, servers, id_):
        """Calls version NUMBER off: who has it goes back, nobody else takes it."""
        from petrelwood.decide.cluster.log_records import Record, RecordKind

        record_id = id_ or f"off-{number}"
        record = Record(record_id, RecordKind.REVOCATION, number, time.time_ns(), b"called off by hand")
        _appended(servers, record)
        click.echo(f"version {number} is called off")


def _ready(address):
    print(json.dumps({"ready": f"{address[0]}:{address[1]}"}), flush=True)


def _end(why):
    print(f"petrelwood: {why}", file=sys.stderr)
    sys.exit(2)


def _appended(servers, record):
    """The slot of a record, from the first server that has it decided."""
    return asyncio.run(_append(servers, record))


async def _append(servers, record):
    from petrelwood.control import messages
    from petrelwood.links.rpc_client import RpcClient, RpcError

    faults = []
    params = [messages.encode_record(record)]
    for address in servers:
        client = RpcClient(address, messages.MAX_MESSAGE_SIZE)
        try:
            (slot,) = await client.call("append", params, APPEND_WITHIN)
            return slot
        except RpcError as fault:
            faults.append(f"{address[0]}:{address[1]}: {fault}")
        finally:
            client.close()
    raise click.ClickException(f"not decided as '{record.id}': {'; '.join(faults)}")
