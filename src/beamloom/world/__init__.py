"""The typed model of the outside world: machines, zones, links and contracts."""
