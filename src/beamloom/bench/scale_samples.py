"""Samples control datagrams to measure the codec and the share of each message type."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

import cbor2

from beamloom.protocol.codec import Envelope, KeyRing, decode_datagram, encode_datagram
from beamloom.protocol.codec import message_to_list as to_list

SAMPLE_EVERY = 37
MAXIMUM_SAMPLES = 4_000


@dataclass(frozen=True, slots=True)
class CodecCost:
    """Mean processor time of a datagram in microseconds, including its authentication."""

    encode_microseconds: float
    decode_microseconds: float


class DatagramSamples:
    """Stores every `SAMPLE_EVERY`-th datagram of the fleet while it is enabled."""

    def __init__(self, keys: KeyRing) -> None:
        self._keys = keys
        self._count = 0
        self._samples: list[bytes] = []
        self.enabled = False

    def note(self, data: bytes) -> None:
        """Count a datagram and store it if it is sampled."""
        self._count += 1
        has_room = len(self._samples) < MAXIMUM_SAMPLES
        if self.enabled and has_room and self._count % SAMPLE_EVERY == 0:
            self._samples.append(data)

    def clear(self) -> None:
        """Discard the samples."""
        self._samples.clear()

    def byte_shares(self) -> dict[str, float]:
        """Return the share of bytes by message type, largest first."""
        sizes: Counter[str] = Counter()
        for envelope in self._decoded():
            for message in envelope.messages:
                sizes[type(message).__name__] += len(cbor2.dumps(to_list(message)))
        total = sum(sizes.values()) or 1
        return {name: round(size / total, 4) for name, size in sizes.most_common()}

    def codec_cost(self) -> CodecCost:
        """Measure the codec on the samples."""
        if not self._samples:
            return CodecCost(0.0, 0.0)
        before = time.thread_time()
        envelopes = self._decoded()
        decoded = time.thread_time()
        for item in envelopes:
            for message in item.messages:
                cbor2.dumps(to_list(message))
            encode_datagram(
                self._keys, item.sender, item.sequence, item.sent_milliseconds, item.messages
            )
        encoded = time.thread_time()
        scale = 1e6 / len(self._samples)
        return CodecCost((encoded - decoded) * scale, (decoded - before) * scale)

    def _decoded(self) -> list[Envelope]:
        return [decode_datagram(self._keys, data) for data in self._samples]
