"""The typed domain model: machines, zones, links and contracts."""
