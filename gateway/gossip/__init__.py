"""Gossip: the encoding of the datagrams between gateways."""
