"""Encoding of inner messages: batches in MessagePack, authenticated by a shared key."""

from __future__ import annotations

import hmac
from dataclasses import dataclass
from hashlib import blake2b
from typing import get_args

import msgspec
from result import Err, Ok, Result

from cornelturn.model.decoding import try_decode
from cornelturn.peering.messages import InnerMessage

TAG_BYTES = 16
MAX_FRAME_BYTES = 4 * 1024 * 1024
MESSAGE_TYPES = {kind.__name__: kind for kind in get_args(InnerMessage)}


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One message of a batch: the name of its type and its encoding."""

    kind: str
    body: msgspec.Raw


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages from one entry to another.

    The receiver is named, so that a frame cannot be replayed to a third entry.
    """

    sender: str
    incarnation: int
    receiver: str
    parts: tuple[Part, ...]


FRAME_DECODER = msgspec.msgpack.Decoder(Frame)


@dataclass(frozen=True, slots=True)
class Batch:
    """Decoded messages of one frame, with their sender."""

    sender: str
    incarnation: int
    messages: tuple[InnerMessage, ...]


@dataclass(frozen=True, slots=True)
class CodecError:
    """Why a received frame must be dropped."""

    reason: str


@dataclass(slots=True)
class Codec:
    """Encoder and decoder of the frames of one entry.

    Parameters
    ----------
    entry : str
        Name of the entry.
    incarnation : int
        Incarnation of the entry: the number of its start.
    key : bytes
        Key that all entries share, 16 to 64 bytes.
    """

    entry: str
    incarnation: int
    key: bytes

    def encode(self, receiver: str, messages: list[InnerMessage]) -> bytes:
        """Return the frame of a batch."""
        parts = tuple(
            Part(type(message).__name__, msgspec.Raw(msgspec.msgpack.encode(message)))
            for message in messages
        )
        frame = Frame(self.entry, self.incarnation, receiver, parts)
        body = msgspec.msgpack.encode(frame)
        return self._tag(body) + body

    def decode(self, data: bytes) -> Result[Batch, CodecError]:
        """Return the batch of a frame, or why it must be dropped."""
        if not TAG_BYTES < len(data) <= MAX_FRAME_BYTES:
            return Err(CodecError("length"))
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            return Err(CodecError("authentication"))
        match try_decode(_decode_frame, body):
            case Err(_):
                return Err(CodecError("encoding"))
            case Ok((frame, _)) if frame.receiver != self.entry:
                return Err(CodecError("receiver"))
            case Ok((frame, messages)):
                return Ok(Batch(frame.sender, frame.incarnation, messages))

    def _tag(self, body: bytes) -> bytes:
        return blake2b(body, key=self.key, digest_size=TAG_BYTES).digest()


def _decode_frame(body: bytes) -> tuple[Frame, tuple[InnerMessage, ...]]:
    frame = FRAME_DECODER.decode(body)
    return frame, tuple(_decode_part(part) for part in frame.parts)


def _decode_part(part: Part) -> InnerMessage:
    return msgspec.msgpack.decode(part.body, type=MESSAGE_TYPES[part.kind])
