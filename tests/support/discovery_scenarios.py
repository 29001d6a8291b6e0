"""Support for scenarios of discovery tests."""

WATCH = "/discovery/hosts?since={}&timeout_ms=5000"
