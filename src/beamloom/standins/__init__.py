"""Stand-ins for what surrounds the product: platform, fabric, backends, clients."""
