"""Tests of beamloom.

Hypothesis draws the same examples on every run. Its health checks measure wall time, so on a busy
machine they would change a verdict; they are off, and so is its deadline.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "beamloom", derandomize=True, deadline=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("beamloom")
