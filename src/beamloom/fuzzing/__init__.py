"""Stateful fuzzing: subjects driven by steps, searched by hypothesis, replayed without it."""
