"""Events, commands and node-to-node messages, with codec, authentication and replay protection."""
