"""Gossip: the outbox of quota entries for other gateways, and the pacing of messages."""
