"""A randomized soak test: real token nodes under faults, checked from outside while they run.

Traffic stays on loopback addresses. The soak ends only processes that it started, by their ids.
"""
