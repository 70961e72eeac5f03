"""Metrics, latency histograms and structured logs."""
