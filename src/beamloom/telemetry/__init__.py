"""Counters, structured logs and explanations."""
