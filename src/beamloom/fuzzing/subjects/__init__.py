"""What can be fuzzed, each against a simple oracle."""
