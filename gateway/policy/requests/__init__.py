"""Requests: their course from arrival to final answer, and their attempts."""
