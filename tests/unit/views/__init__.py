"""Tests of the views of the store that nodes keep and exchange."""
