"""Measurements that are run by hand; none of them is a test."""
