"""Conversion factors between units."""

MILLISECONDS = 1000
"""Milliseconds in a second."""
BYTES_PER_MEGABIT = 125_000
"""Bytes in a megabit (10^6 bits)."""
BYTES_PER_MEGABYTE = 1 << 20
"""Bytes in a mebibyte, the unit of memory use and its limits."""
