"""Stand-ins for the product's environment: platform, network fabric, backends and clients."""
