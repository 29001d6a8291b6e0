"""Dispatch: the queue, the classes' shares, the concurrency limit and latency estimates."""
