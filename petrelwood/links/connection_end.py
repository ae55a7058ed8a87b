"""The reason for the end of a connection, as text for the log."""

from collections.abc import Awaitable, Callable

from tornado.iostream import StreamClosedError

from petrelwood.errors import ProtocolError

CLOSED_BY_PEER = "closed by the peer"


async def reason_of_end(serving: Awaitable[object], report_defect: Callable[[str, Exception], object]) -> str:
    """Wait for the end of a connection and return the reason.

    Args:
        serving: Serves the connection until an error ends it.
        report_defect: Called with "link" and the error if the error is a defect of this program.
    """
    try:
        await serving
    except StreamClosedError as error:
        return str(error.real_error or CLOSED_BY_PEER)
    except (ProtocolError, OSError) as error:
        return str(error)
    except Exception as error:  # a defect ends this connection but not the dispatcher
        report_defect("link", error)
        return repr(error)
    return CLOSED_BY_PEER
