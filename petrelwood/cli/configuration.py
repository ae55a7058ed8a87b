"""`petrelwood configuration`: runs a configuration server, publishes and revokes settings versions."""

import asyncio
import functools
import json
import pathlib
import secrets
import sys
import time

import click

from petrelwood.settings.errors import SettingsError

APPEND_TIMEOUT = 5.0  # seconds per server; must exceed `log_proposal.QUORUM_TIMEOUT`


def add(cli, command, address):
    """Add the `configuration` group to `cli`; `address` is the type of HOST:PORT options."""

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

        peer_addresses = {}
        for text in peers:
            peer, _, address_text = text.partition("=")
            if not peer or peer == name or peer in peer_addresses:
                raise click.BadParameter(
                    f"'{text}' must name another server, and only once", param_hint="--peer"
                )
            peer_addresses[peer] = address.convert(address_text, None, None)
        if len(peer_addresses) % 2:
            raise click.BadParameter(
                "the number of servers, including this one, must be odd: with an even number the quorum "
                "tolerates no more failures than with one server less",
                param_hint="--peer",
            )
        try:
            asyncio.run(
                service.serve(
                    name,
                    listen,
                    peer_addresses,
                    folder,
                    new_log_after,
                    open_log("json", level, server=name),
                    _print_ready,
                )
            )
        except LogStorageError as error:
            _exit_with_error(str(error))
        except OSError as error:
            _exit_with_error(f"can't listen on {listen[0]}:{listen[1]}: {error.strerror}")

    def append_options(function):
        """Add the options of a command that appends a record to the servers' log."""

        @click.option("--server", "servers", type=address, multiple=True, required=True, help="any of them")
        @click.option(
            "--id", "id_", default="", help="the record's id; a repeat with the same id adds no second record"
        )
        @functools.wraps(function)
        def wrapper(**options):
            return function(**options)

        return wrapper

    @command(configuration, "publish")
    @click.argument("file", type=click.Path(dir_okay=False))
    @append_options
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
        click.echo(f"version {_append_record(servers, record)} is published")

    @command(configuration, "revoke")
    @click.argument("number", type=click.IntRange(1))
    @append_options
    def revoke(number, servers, id_):
        """Calls version NUMBER off: who has it goes back, nobody else takes it."""
        from petrelwood.decide.cluster.log_records import Record, RecordKind

        record_id = id_ or f"off-{number}"
        record = Record(record_id, RecordKind.REVOCATION, number, time.time_ns(), b"called off by hand")
        _append_record(servers, record)
        click.echo(f"version {number} is called off")


def _print_ready(address):
    print(json.dumps({"ready": f"{address[0]}:{address[1]}"}), flush=True)


def _exit_with_error(message):
    print(f"petrelwood: {message}", file=sys.stderr)
    sys.exit(2)


def _append_record(servers, record):
    """Append a record and return its slot, from the first server at which it is decided."""
    return asyncio.run(_append_to_any(servers, record))


async def _append_to_any(servers, record):
    from petrelwood.control import messages
    from petrelwood.links.rpc_client import RpcClient, RpcError

    errors = []
    params = [messages.encode_record(record)]
    for address in servers:
        client = RpcClient(address, messages.MAX_MESSAGE_SIZE)
        try:
            (slot,) = await client.call("append", params, APPEND_TIMEOUT)
            return slot
        except RpcError as error:
            errors.append(f"{address[0]}:{address[1]}: {error}")
        finally:
            client.close()
    raise click.ClickException(f"not decided as '{record.id}': {'; '.join(errors)}")
