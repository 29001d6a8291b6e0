"""Gossip: the datagrams that gateways send each other."""
