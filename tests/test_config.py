"""Tests of config."""

import json

import pytest
from support.fakes import HOST, config, entry, listing

from gateway.config import config_from, endpoint_list_from
from gateway.interface.events import (
    EndpointState,
)


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"listen": "here"}, "config.listen"),
        ({"seed": "xyz"}, "config.seed"),
        ({"settings": 3}, "settings"),
        ({"peers": ["127.0.0.1:1"]}, "config.peers"),
        ({"known": {"index": 1, "endpoints": [{}]}}, "endpoints[0]"),
        ({"known": {"index": 10**400, "endpoints": []}}, "index"),
        ({"discovery": "h:70000"}, "discovery"),
    ],
)
def test_malformed_configuration_is_reported_by_its_path(change, name):
    value = config()
    value.update(change)
    with pytest.raises(ValueError, match="config") as told:
        config_from(json.loads(json.dumps(value)), {})
    assert name in str(told.value)


def test_environment_supplies_what_the_file_lacks():
    value = config()
    del value["name"], value["listen"], value["discovery"]
    made = config_from(
        value, {"BALANCER_NAME": "n7", "BALANCER_LISTEN": f"{HOST}:5", "BALANCER_DISCOVERY": f"{HOST}:6"}
    )
    assert (made.name, made.listen, made.discovery) == ("n7", (HOST, 5), (HOST, 6))


def test_endpoint_list_in_discoverys_format_is_read():
    news = endpoint_list_from(listing(entry("w1", 5000, "draining", 77), index=41, snapshot=False), "list")
    server = news.entries[0].endpoint
    assert (news.index, news.is_snapshot, news.entries[0].address) == (41, False, (HOST, 5000))
    assert (server.id, server.zone, server.state, server.started_ms) == (
        "w1",
        "a",
        EndpointState.DRAINING,
        77.0,
    )
