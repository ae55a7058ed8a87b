"""Problem documents (RFC 9457): the bodies of answers other than the result of an activation."""

import orjson

from petrelwood.fronts.http_status import HttpStatus


def problem_document(status: HttpStatus, detail: str, activation_id: str | None = None) -> bytes:
    """Return the body of an answer of type `application/problem+json`.

    `detail` describes the problem with this request to the client; `activation_id` is set if the request
    became an activation.
    """
    document = {"type": "about:blank", "title": status.title, "status": status.code, "detail": detail}
    if activation_id:
        document["instance"] = f"urn:activation:{activation_id}"
    return orjson.dumps(document)
