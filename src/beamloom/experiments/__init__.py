"""Sweeps of the simulator over scenarios, placements, seeds and fleet sizes, and their report."""
