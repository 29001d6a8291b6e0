"""Gossip: the format of the datagrams between gateways."""
