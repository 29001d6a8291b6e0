"""Every decision of the gateway: pure functions of events and time, with the standard library only."""
