"""beamloom: a shared layer-4 load balancer whose fleet repairs itself and explains what it did."""

__version__ = "0.1.0"
