"""Simulation of token nodes: clients and endpoints echo tokens, endpoints answer clients directly.

The nodes run the production core; the store, routers, network, clients and endpoints are models on
the virtual clock. `oracle` checks what clients and endpoints observe.
"""
