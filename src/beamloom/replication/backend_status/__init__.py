"""Backend status: health checks by two watchers per backend, and gossip of the results."""
