"""Benchmarks of the token path, the forwarding speed and a whole fleet."""
