"""The error of a peer that does not keep to the standard."""

from petrelwood.errors import ProtocolError


class MqttError(ProtocolError):
    """The peer does not keep to the standard; `code` is the reason code to tell it."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
