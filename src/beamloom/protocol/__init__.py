"""Typed events, commands and node-to-node messages, with their codec and authentication."""
