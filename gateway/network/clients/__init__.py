"""Serves client connections: reads requests, writes responses, and limits the number of connections."""
