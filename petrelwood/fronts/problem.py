"""Problem documents (RFC 9457) and the status of each way an activation may end."""

import orjson

TITLES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    415: "Unsupported Media Type",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    200: "OK",
}


def document(status, detail, act=None):
    """The body, `application/problem+json`."""
    body = {"type": "about:blank", "title": TITLES[status], "status": status, "detail": detail}
    if act:
        body["instance"] = f"urn:activation:{act}"
    return orjson.dumps(body)
