"""Why a connection ended: one line for the log, whatever ended it."""

from collections.abc import Awaitable, Callable

from tornado.iostream import StreamClosedError

from petrelwood.errors import ProtocolError

CLOSED_BY_PEER = "closed by the peer"


async def reason_of_end(serving: Awaitable[object], report_defect: Callable[[str, Exception], object]) -> str:
    """Wait until a connection has ended, and return why.

    Args:
        serving: Serves the connection, until an error ends it.
        report_defect: Called with "link" and the error if that is one of our own.
    """
    try:
        await serving
    except StreamClosedError as error:
        return str(error.real_error or CLOSED_BY_PEER)
    except (ProtocolError, OSError) as error:
        return str(error)
    except Exception as error:  # a defect costs this connection, not the dispatcher
        report_defect("link", error)
        return repr(error)
    return CLOSED_BY_PEER
