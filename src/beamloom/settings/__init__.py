"""Settings files, the tree of settings, and the compilation of stored objects to contracts."""
