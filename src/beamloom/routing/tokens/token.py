"""Routing tokens: 32 bits that identify the backend of a flow and authenticate its choice.

    bits 31..20  bucket: a hash of the backend's identity, to find it among thousands
    bits 19..0   keyed hash of the flow's 4-tuple and the identity (BLAKE2b, RFC 7693)

All nodes have the same key, so each can verify tokens that another one minted. A forged token
matches a backend's 20 bits with a probability of one in a million, and that backend does not hold
the flow. A valid token was minted by a node whose configuration allowed the backend's service, so
a node that starts after a route change forwards the flow without knowing earlier routes.
"""

from __future__ import annotations

from _blake2 import blake2b
from collections.abc import Collection
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamloom.routing.tokens.backend_table import Backend

NO_TOKEN = 0
"""Token of an opening packet; never the token of a backend."""
KEY_BYTES = 16

BUCKET_SHIFT = 20
_PROOF_MASK = (1 << BUCKET_SHIFT) - 1
_IDENTITY_BYTES = 8
_IDENTITY_MASK = (1 << 64) - 1
_GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
"""2^64 divided by the golden ratio (Knuth, TAOCP 3, section 6.4)."""
_BUCKET_HASH_SHIFT = 64 - (32 - BUCKET_SHIFT)


def bucket_of_identity(identity: int) -> int:
    """Return the bucket of a backend's tokens."""
    return ((identity * _GOLDEN_RATIO_64) & _IDENTITY_MASK) >> _BUCKET_HASH_SHIFT


def bucket_of_token(token: int) -> int:
    """Return the bucket in a token."""
    return token >> BUCKET_SHIFT


class TokenCodec:
    """Mints tokens with `key`, of KEY_BYTES bytes, and verifies them with `older_keys` too.

    Flows that were opened before the key changed, as after the restore of a store that had lost it,
    remain valid. `binds_flows` is switched off only to measure its cost: the hash then covers the
    backend's identity only.
    """

    def __init__(self, key: bytes, *older_keys: bytes, binds_flows: bool = True) -> None:
        self._key = key
        self._keys = (key, *older_keys)
        self._binds_flows = binds_flows

    def mint(self, flow: bytes, identity: int) -> int:
        """Return the token of a flow at a backend."""
        return self._mint(self._key, flow, identity)

    def _mint(self, key: bytes, flow: bytes, identity: int) -> int:
        message = identity.to_bytes(_IDENTITY_BYTES, "big")
        if self._binds_flows:
            message = flow + message
        digest = blake2b(message, digest_size=4, key=key).digest()
        proof = int.from_bytes(digest, "big") & _PROOF_MASK
        return (bucket_of_identity(identity) << BUCKET_SHIFT | proof) or 1

    def find(self, flow: bytes, token: int, candidates: Collection[Backend]) -> Backend | None:
        """Return the candidate that the token was minted for, or None."""
        for key in self._keys:
            for backend in candidates:
                if self._mint(key, flow, backend.record.identity) == token:
                    return backend
        return None
