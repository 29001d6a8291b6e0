"""Gossip: the outbox of quota entries, and the pace at which it is sent."""
