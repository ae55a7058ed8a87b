"""The error for a peer that violates the standard."""

from petrelwood.errors import ProtocolError


class MqttError(ProtocolError):
    """The peer violated the standard; `code` is the reason code to send to it."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
