"""The deterministic simulator: virtual clock, faults, oracle, scenarios, reports."""
