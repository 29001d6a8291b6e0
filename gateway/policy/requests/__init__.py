"""Requests: their way to a final answer, and their attempts."""
