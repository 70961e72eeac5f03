"""Simulation of token nodes: clients and endpoints echo tokens, endpoints answer clients directly.

The cores are those that run on sockets; store, routers, network and both ends of flows are models
on the virtual clock. `oracle` judges by what clients, endpoints and operators see.
"""
