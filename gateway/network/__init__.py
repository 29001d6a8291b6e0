"""The sockets and timers of the gateway; all decisions are made by the controller in `gateway.policy`."""
