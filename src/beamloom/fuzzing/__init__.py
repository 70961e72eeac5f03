"""Stateful fuzzing: hypothesis searches for steps that make a subject fail.

Replaying the steps of a failure does not need hypothesis.
"""
