"""Adapters that run the decision core on asyncio sockets."""

import time

IMPORTED_AT_SECONDS = time.monotonic()
"""Of the steady clock. This package is the first of a node's own code that runs."""
IMPORTED_AT_PROCESSOR_SECONDS = time.process_time()
"""Processor time that the process had used by then: the interpreter's own start."""
