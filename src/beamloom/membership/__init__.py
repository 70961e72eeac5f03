"""Which nodes are alive: probing, suspicion and the member list."""
