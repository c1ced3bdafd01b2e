"""Bearer tokens, kept as SHA-256 and compared in constant time."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from hashlib import sha256

from blacksheep import Request

BEARER = "bearer "


@dataclass(frozen=True, slots=True)
class TokenHolder:
    """Somebody who may call, with the SHA-256 of the token in hex."""

    name: str
    token_sha256: str


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token in hex."""
    return sha256(token.encode()).hexdigest()


def bearer_token(request: Request) -> str | None:
    """Return the token of a request, None if it carries none."""
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
    """Return who sent a request; every holder is compared, whoever matches."""
    token = bearer_token(request)
    digest = token_digest(token or "")
    matched: TokenHolder | None = None
    for holder in holders:
        if hmac.compare_digest(digest, holder.token_sha256) and token:
            matched = holder
    return matched
