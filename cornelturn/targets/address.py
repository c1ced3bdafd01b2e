"""Address of a target, checked once where it enters and never parsed again."""

from __future__ import annotations

import re
from dataclasses import dataclass
from ipaddress import IPv6Address, ip_address

from result import Err, Ok, Result

from cornelturn.model.decoding import DocumentError

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_QUOTED_CHARS = 40
"""Length to which an error message truncates the text that it quotes."""

ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<bracketed>[0-9A-Fa-f:.]+)\]|(?P<plain>[0-9.]+))"
    rf":(?P<port>[0-9]{{1,{MAX_PORT_DIGITS}}})"
)
"""An IPv6 number in brackets or an IPv4 number without, and a port."""


@dataclass(frozen=True, slots=True)
class TargetAddress:
    """IP number, in its shortest form, and port at which a target takes orders."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.url_host()}:{self.port}"

    def url_host(self) -> str:
        """Return the host as it is written in a URL."""
        return f"[{self.host}]" if ":" in self.host else self.host

    def url(self) -> str:
        """Return the URL of the target's HTTP server."""
        return f"http://{self}"

    @classmethod
    def loopback(cls, port: int) -> TargetAddress:
        """Return the address of a target on this machine."""
        return cls("127.0.0.1", port)


def parse_address(text: str) -> Result[TargetAddress, DocumentError]:
    """Return the address that a text such as ``10.0.0.1:80`` or ``[::1]:80`` states."""
    matched = ADDRESS_PATTERN.fullmatch(text)
    if matched is None:
        return _invalid(text)
    port = int(matched["port"])
    try:
        host = ip_address(matched["bracketed"] or matched["plain"])
    except ValueError:
        return _invalid(text)
    is_bracketed = matched["bracketed"] is not None
    if is_bracketed is not isinstance(host, IPv6Address) or not 0 < port <= MAX_PORT:
        return _invalid(text)
    return Ok(TargetAddress(str(host), port))


def _invalid(text: str) -> Err[DocumentError]:
    shown = text[:MAX_QUOTED_CHARS]
    return Err(DocumentError(f"expected an IP number and a port: {shown}"))
