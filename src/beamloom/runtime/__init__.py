"""Adapters that run the decision core on asyncio sockets."""

import time

IMPORTED_AT_SECONDS = time.monotonic()
"""Monotonic time of this import, which is among the first steps of a node's start."""
IMPORTED_AT_PROCESSOR_SECONDS = time.process_time()
"""Processor time used until then, mostly by the start of the interpreter."""
