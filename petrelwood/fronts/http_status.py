"""The HTTP status codes that the webhook front uses."""

from enum import IntEnum


class HttpStatus(IntEnum):
    """A status code (RFC 9110) with its title and its encoded status line.

    `code` is its number; reading it is faster than `value`, which the enum computes on each access.
    """

    code: int
    title: str
    line: bytes

    def __new__(cls, code: int, title: str) -> "HttpStatus":
        """Create the member for one status code."""
        member = int.__new__(cls, code)
        member._value_ = code
        member.code = code
        member.title = title
        member.line = b"HTTP/1.1 %d %s\r\n" % (code, title.encode())
        return member

    OK = (200, "OK")
    BAD_REQUEST = (400, "Bad Request")
    UNAUTHORIZED = (401, "Unauthorized")
    NOT_FOUND = (404, "Not Found")
    METHOD_NOT_ALLOWED = (405, "Method Not Allowed")
    REQUEST_TIMEOUT = (408, "Request Timeout")
    CONFLICT = (409, "Conflict")
    CONTENT_TOO_LARGE = (413, "Content Too Large")
    UNSUPPORTED_MEDIA_TYPE = (415, "Unsupported Media Type")
    TOO_MANY_REQUESTS = (429, "Too Many Requests")
    HEADER_FIELDS_TOO_LARGE = (431, "Request Header Fields Too Large")
    SERVICE_UNAVAILABLE = (503, "Service Unavailable")
    GATEWAY_TIMEOUT = (504, "Gateway Timeout")
