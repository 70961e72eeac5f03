"""Measurements that a user can repeat: forwarding speed and the scale run."""
