"""Test doubles, simulated fleets and helper functions that several test modules use."""
