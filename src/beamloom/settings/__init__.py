"""The node settings file and the tree of settings: global, tenant, service."""
