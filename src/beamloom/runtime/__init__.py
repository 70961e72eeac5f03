"""Adapters that run the decision core on asyncio sockets."""
