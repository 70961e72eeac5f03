"""A randomized soak: real token nodes, faults from outside, promises checked meanwhile.

Traffic stays on loopback addresses. The soak ends only processes that it started, by their ids.
"""
