"""The application protocol of the stand-ins: CBOR requests and answers.

Over TCP each message follows its length (4 bytes, network order); over UDP each datagram is one
message. The body of an answer is derived from the request's id, so that a client can verify it.
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
    """The bytes are not a valid message of this protocol."""


class RequestKind(IntEnum):
    """Kind of a request; the backend's service time may depend on it."""

    DOCUMENT = 1
    UPDATE = 2


class AnswerStatus(IntEnum):
    """Status of an answer.

    RUN: the request ran. SHED: rejected by a full backend. REFUSED: its deadline passed before it
    could start. PUSH: a message from the backend that belongs to no request.
    """

    RUN = 1
    SHED = 2
    REFUSED = 3
    PUSH = 4


@dataclass(frozen=True, slots=True)
class Request:
    """A request; the backend must start it within `deadline_milliseconds` of arrival (0: no limit).

    `size` is the size of the answer's body in bytes.
    """

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
    """Return the expected body of `size` bytes for a request id."""
    return hashlib.shake_128(request_id.encode()).digest(size)


def answer_parts(request: Request, backend_id: str) -> list[Answer]:
    """Return the complete answer to a request that ran, in parts that each fit in a packet."""
    body = answer_body(request.request_id, request.size)
    pieces = [body[start : start + PART_SIZE] for start in range(0, len(body), PART_SIZE)] or [b""]
    total = len(pieces)
    return [
        Answer(request.request_id, backend_id, AnswerStatus.RUN, part, total, piece)
        for part, piece in enumerate(pieces)
    ]


def encode_message(message: Request | Answer) -> bytes:
    """Return a message as CBOR, without a length prefix."""
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
    """Return a message as CBOR with its length prefix."""
    body = encode_message(message)
    return len(body).to_bytes(LENGTH_SIZE, "big") + body


def decode_request(data: bytes) -> Request:
    """Decode a request; raises ApplicationError if the bytes are not a valid one."""
    try:
        request_id, kind, repeatable, deadline, size = cbor2.loads(data)
        return Request(str(request_id), RequestKind(kind), bool(repeatable), deadline, size)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ApplicationError(f"invalid request: {error}") from error


def decode_answer(data: bytes) -> Answer:
    """Decode an answer; raises ApplicationError if the bytes are not a valid one."""
    try:
        request_id, backend_id, status, part, total, body = cbor2.loads(data)
        return Answer(str(request_id), str(backend_id), AnswerStatus(status), part, total, body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ApplicationError(f"invalid answer: {error}") from error


class FrameDecoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Append bytes and return the frames now complete; raises ApplicationError if too large."""
        self._buffer += data
        frames: list[bytes] = []
        while len(self._buffer) >= LENGTH_SIZE:
            length = int.from_bytes(self._buffer[:LENGTH_SIZE], "big")
            if length > MAXIMUM_FRAME_SIZE:
                raise ApplicationError(
                    f"frame of {length} bytes exceeds {MAXIMUM_FRAME_SIZE}; send smaller parts"
                )
            if len(self._buffer) < LENGTH_SIZE + length:
                break
            frames.append(self._buffer[LENGTH_SIZE : LENGTH_SIZE + length])
            self._buffer = self._buffer[LENGTH_SIZE + length :]
        return frames
