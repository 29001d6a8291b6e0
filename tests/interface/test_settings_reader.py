"""Tests of the validation of settings, plans and classes."""

import pytest
from support.policy_settings import settings

from gateway.interface.settings import Idempotency, KeyScope, Plan, RequestClass


@pytest.mark.parametrize(
    ("invalid", "name"),
    [
        (dict(classes=()), "classes"),
        (dict(plans=()), "plans"),
        (dict(gateways=0), "gateways"),
        (dict(gateway_number=3), "gateway_number"),
        (dict(max_attempts=0), "max_attempts"),
        (dict(slow_start_ms=-1), "slow_start_ms"),
    ],
)
def test_invalid_setting_raises_an_error_with_its_name(invalid, name):
    with pytest.raises(ValueError, match=name):
        settings(**invalid)


def test_invalid_plan_or_class_raises_an_error_with_the_name_of_the_field():
    with pytest.raises(ValueError, match="rate_per_s"):
        Plan("p", rate_per_s=-1)
    with pytest.raises(ValueError, match="idempotency"):
        RequestClass("k", 1, 1, 1, "sometimes", key_scope=KeyScope.ALL)
    with pytest.raises(ValueError, match="latency_objective_ms"):
        RequestClass("k", float("nan"), 1, 1, Idempotency.IDEMPOTENT)
