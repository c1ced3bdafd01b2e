"""HTTP responses of the stand-ins."""

from __future__ import annotations

import msgspec
from blacksheep import Content, Response


def json_response(status: int, body: object) -> Response:
    """Return a response with a JSON body."""
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, content=content)
