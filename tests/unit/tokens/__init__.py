"""Tests of routing by tokens."""
