"""Simulation sweeps over scenarios, placements, seeds and fleet sizes, and their report."""
