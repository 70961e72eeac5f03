"""The token of a backend: 32 bits that name one incarnation, the same on every node.

An identity of at most 32 bits is its own token, so two backends never share one. A longer one is
folded by a multiplicative hash; at 4,400 backends two of them share a token with a probability of
0.2%, and the backend table then gives new flows to one of the two only.
"""

from __future__ import annotations

TOKEN_BITS = 32
NO_TOKEN = 0
"""What an opening packet carries; never the token of a backend."""

_TOKEN_MASK = (1 << TOKEN_BITS) - 1
_IDENTITY_MASK = (1 << 64) - 1
_GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
"""2^64 divided by the golden ratio (Knuth, TAOCP 3, section 6.4)."""


def token_of(identity: int) -> int:
    """Return the token of the incarnation with this identity; never NO_TOKEN."""
    if 0 < identity <= _TOKEN_MASK:
        return identity
    mixed = (identity * _GOLDEN_RATIO_64) & _IDENTITY_MASK
    return (mixed >> TOKEN_BITS) or 1
