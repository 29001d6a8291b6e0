"""The admin endpoint and the metrics that it serves."""
