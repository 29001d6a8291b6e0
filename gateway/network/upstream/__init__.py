"""Endpoints: the connections to them, and the attempts on these connections."""
