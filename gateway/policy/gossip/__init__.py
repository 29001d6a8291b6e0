"""Gossip: the outbox, and the pace at which it is sent."""
