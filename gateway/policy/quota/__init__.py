"""Quotas: local accounts, leases of the quota leader, and the leader's buckets."""
