"""A demo fleet in one process on loopback: platform, fabric, balancers, backends and clients."""
