"""Dispatch: the queue of admitted requests, the shares of classes, the concurrency limit and latencies."""
