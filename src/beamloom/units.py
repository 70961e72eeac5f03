"""Factors between units of the International System, each in one place."""

MILLISECONDS = 1000
"""In a second: settings, messages and log lines tell milliseconds where fields hold seconds."""
BYTES_PER_MEGABIT = 125_000
"""A million bits, eight to a byte: links are told in megabits a second."""
BYTES_PER_MEGABYTE = 1 << 20
"""What limits of memory are told in."""
