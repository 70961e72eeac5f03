"""Deployment files of two users and a node's settings file, found by `importlib.resources`."""
