"""A request as the front works on it."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.work import Queue, Size
from cornelturn.requests.target_client import ForwardedHeader


@dataclass(frozen=True, slots=True)
class Work:
    """A request with its payload.

    Parameters
    ----------
    request : str
        Request id, unique.
    member : str
        Member who sent it.
    queue : Queue
        Queue with the rules in force.
    payload : bytes
        Body.
    content_type : str
        Media type of the body.
    deadline_ms : int
        Deadline on this process's clock.
    size : Size
        Declared size.
    headers : tuple of ForwardedHeader
        Headers that the target gets unchanged.
    has_key : bool
        Whether the caller gave a key, so that other submissions may stand for the
        same request.
    """

    request: str
    member: str
    queue: Queue
    payload: bytes
    content_type: str
    deadline_ms: int
    size: Size = field(default_factory=Size)
    headers: tuple[ForwardedHeader, ...] = ()
    has_key: bool = False
