"""Tests of customers' quotas over a simulated fleet."""

import pytest
from support.quota_fleet import QuotaFleet

MAX_FRACTION_BEYOND_QUOTA = 0.03  # of the forwarded requests
MAX_REJECTED_FRACTION_WITHIN_QUOTA = 0.03  # of the requests of customers that stay within their quotas


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_fleet_forwards_little_beyond_quotas_and_rejects_little_within_them(gateways):
    fleet = QuotaFleet(gateways, seed=gateways)
    fleet.run()
    assert fleet.sent_beyond_quota / fleet.sent < MAX_FRACTION_BEYOND_QUOTA
    assert fleet.rejected_within_quota / fleet.arrived_within_quota < MAX_REJECTED_FRACTION_WITHIN_QUOTA
