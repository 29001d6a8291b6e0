"""Gossip: the outbox of quota entries for other gateways, and the limit on the rate of messages."""
