"""`python -m beamloom.demo`: the demo without the command line's options."""

import asyncio
import sys

from beamloom.demo.run import run_demo
from beamloom.standins.load_profiles import ProfileName

if __name__ == "__main__":
    report = asyncio.run(run_demo(ProfileName.VAKATALE, balancers=2, duration=5.0, rate=100))
    sys.stdout.write(f"{report}\n")
    sys.exit(0 if report.succeeded else 1)
