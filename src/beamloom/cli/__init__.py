"""The beamloom command line."""
