"""Customers' quotas: the local accounts, the lease protocol, and the buckets of the quota leader."""
