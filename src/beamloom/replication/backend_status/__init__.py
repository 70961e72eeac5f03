"""Backend status: who watches which backend, what they conclude, and how every home hears of it."""
