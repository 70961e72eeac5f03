"""Deterministic simulator: virtual clock, network and faults, scenarios, oracle and reports."""
