"""The address that the tests' sockets are bound to."""

HOST = "127.0.0.1"
