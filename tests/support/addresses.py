"""The loopback address to which tests bind their sockets."""

HOST = "127.0.0.1"
