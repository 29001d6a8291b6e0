"""Tests of quotas over the fleet."""

import pytest
from support.quota_fleet import QuotaFleet

MAX_BEYOND_QUOTA = 0.03  # fraction of the requests that are forwarded
MAX_REJECTED_WITHIN_QUOTA = 0.03  # fraction of the requests of customers that stay within their quotas


@pytest.mark.parametrize("gateways", [3, 40, 200])
def test_quotas_hold_for_the_fleet(gateways):
    fleet = QuotaFleet(gateways, seed=gateways)
    fleet.run()
    assert fleet.sent_beyond_quota / fleet.sent < MAX_BEYOND_QUOTA
    assert fleet.rejected_within_quota / fleet.arrived_within_quota < MAX_REJECTED_WITHIN_QUOTA
