"""Data of a request while it runs, whether it is idempotent or not."""

from __future__ import annotations

from dataclasses import dataclass, field

from cornelturn.model.work import Queue, Size
from cornelturn.requests.target_client import ForwardedHeader


@dataclass(frozen=True, slots=True)
class Work:
    """A request to run, with its payload.

    Parameters
    ----------
    request : str
        Request id, unique.
    member : str
        Member that sent it.
    queue : Queue
        Queue, with the configuration in force at submission.
    payload : bytes
        Body of the request.
    content_type : str
        Media type of the body.
    deadline_ms : int
        Deadline on the clock of this process.
    size : Size
        Declared size.
    headers : tuple of ForwardedHeader
        Headers that are forwarded unchanged to the target.
    has_key : bool
        Whether the id is derived from a caller's key, so that other submissions may
        refer to the same request.
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
