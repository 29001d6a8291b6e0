"""The state that one process of a gateway exports and the next one restores."""
