"""The small application protocol of the stand-ins: framed CBOR requests and answers.

Over TCP each message is preceded by its length (4 bytes, network order); over UDP one datagram
holds one message. The body of an answer follows from the request's id, so that a client can tell a
whole and right answer from any other.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import IntEnum

import cbor2

LENGTH_SIZE = 4
MAXIMUM_FRAME_SIZE = 65_536
PART_SIZE = 1_000


class ApplicationError(ValueError):
    """The bytes are no message of this protocol."""


class RequestKind(IntEnum):
    """What a request is for; the backend's service time depends on it."""

    DOCUMENT = 1
    UPDATE = 2


class AnswerStatus(IntEnum):
    """What became of a request: only `RUN` says that it ran; `PUSH` answers no request."""

    RUN = 1
    SHED = 2
    REFUSED = 3
    PUSH = 4


@dataclass(frozen=True, slots=True)
class Request:
    """A request; `deadline_milliseconds` counts from its arrival (0: none), `size` is in bytes."""

    request_id: str
    kind: RequestKind
    repeatable: bool = True
    deadline_milliseconds: int = 0
    size: int = 100


@dataclass(frozen=True, slots=True)
class Answer:
    """One part of an answer; parts are numbered from 0 to `total` - 1."""

    request_id: str
    backend_id: str
    status: AnswerStatus
    part: int = 0
    total: int = 1
    body: bytes = b""


def answer_body(request_id: str, size: int) -> bytes:
    """Return the `size` bytes that are the right answer to a request."""
    return hashlib.shake_128(request_id.encode()).digest(size)


def answer_parts(request: Request, backend_id: str) -> list[Answer]:
    """Return the whole answer to a request that ran, in parts that each fit one packet."""
    body = answer_body(request.request_id, request.size)
    pieces = [body[start : start + PART_SIZE] for start in range(0, len(body), PART_SIZE)] or [b""]
    total = len(pieces)
    return [
        Answer(request.request_id, backend_id, AnswerStatus.RUN, part, total, piece)
        for part, piece in enumerate(pieces)
    ]


def encode_message(message: Request | Answer) -> bytes:
    """Return one message as CBOR, without a length."""
    if isinstance(message, Request):
        return cbor2.dumps(
            (
                message.request_id,
                int(message.kind),
                message.repeatable,
                message.deadline_milliseconds,
                message.size,
            )
        )
    return cbor2.dumps(
        (
            message.request_id,
            message.backend_id,
            int(message.status),
            message.part,
            message.total,
            message.body,
        )
    )


def frame(message: Request | Answer) -> bytes:
    """Return one message with its length before it."""
    body = encode_message(message)
    return len(body).to_bytes(LENGTH_SIZE, "big") + body


def decode_request(data: bytes) -> Request:
    """Return a request; raises ApplicationError when the bytes are none."""
    try:
        request_id, kind, repeatable, deadline, size = cbor2.loads(data)
        return Request(str(request_id), RequestKind(kind), bool(repeatable), deadline, size)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ApplicationError(f"no request: {error}") from error


def decode_answer(data: bytes) -> Answer:
    """Return an answer; raises ApplicationError when the bytes are none."""
    try:
        request_id, backend_id, status, part, total, body = cbor2.loads(data)
        return Answer(str(request_id), str(backend_id), AnswerStatus(status), part, total, body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ApplicationError(f"no answer: {error}") from error


class FrameDecoder:
    """Cuts a byte stream into the frames that it holds."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes in order and return each frame now whole; raises ApplicationError."""
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= LENGTH_SIZE:
            length = int.from_bytes(self._buffer[:LENGTH_SIZE], "big")
            if length > MAXIMUM_FRAME_SIZE:
                raise ApplicationError(f"a frame of {length} bytes; send smaller parts")
            if len(self._buffer) < LENGTH_SIZE + length:
                break
            frames.append(self._buffer[LENGTH_SIZE : LENGTH_SIZE + length])
            self._buffer = self._buffer[LENGTH_SIZE + length :]
        return frames
