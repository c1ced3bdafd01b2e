"""Authentication by bearer tokens, stored as SHA-256 and compared in constant time."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from hashlib import sha256

from blacksheep import Request

BEARER = "bearer "


@dataclass(frozen=True, slots=True)
class TokenHolder:
    """A client that may call, with the SHA-256 of its token in hex."""

    name: str
    token_sha256: str


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token in hex."""
    return sha256(token.encode()).hexdigest()


def bearer_token(request: Request) -> str | None:
    """Return the bearer token of a request, None if it has none."""
    value = request.get_first_header(b"authorization")
    if value is None:
        return None
    text = value.decode("latin-1")
    if not text.lower().startswith(BEARER):
        return None
    return text[len(BEARER) :].strip()


def authenticate(
    request: Request, holders: tuple[TokenHolder, ...]
) -> TokenHolder | None:
    """Return the holder of the token of a request, if any.

    All holders are compared, also after a match, so that the time taken does not depend
    on which one matches.
    """
    token = bearer_token(request)
    digest = token_digest(token or "")
    matched: TokenHolder | None = None
    for holder in holders:
        if hmac.compare_digest(digest, holder.token_sha256) and token:
            matched = holder
    return matched
