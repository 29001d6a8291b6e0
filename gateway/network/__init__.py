"""The gateway's sockets and timers. Nothing in here decides anything."""
