"""Measurements that are run by hand; the test runner does not run them."""
