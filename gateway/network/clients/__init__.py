"""Clients: their connections, the requests read from them, and the limit on connections."""
