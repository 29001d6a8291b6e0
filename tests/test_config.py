"""Tests of reading configurations and endpoint lists in the platform's format."""

import json

import pytest
from support.addresses import HOST
from support.configurations import configuration, endpoint_entry, endpoint_list

from gateway.config import config_from, endpoint_list_from
from gateway.interface.events import EndpointState


@pytest.mark.parametrize(
    ("change", "path"),
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
def test_malformed_configuration_raises_an_error_with_the_path_of_the_value(change, path):
    value = configuration()
    value.update(change)
    with pytest.raises(ValueError, match="config") as error:
        config_from(json.loads(json.dumps(value)), {})
    assert path in str(error.value)


def test_environment_provides_the_name_and_the_addresses_that_the_file_lacks():
    value = configuration()
    del value["name"], value["listen"], value["discovery"]
    config = config_from(
        value, {"BALANCER_NAME": "n7", "BALANCER_LISTEN": f"{HOST}:5", "BALANCER_DISCOVERY": f"{HOST}:6"}
    )
    assert (config.name, config.listen, config.discovery) == ("n7", (HOST, 5), (HOST, 6))


def test_endpoint_list_in_the_format_of_discovery_is_read():
    received = endpoint_list_from(
        endpoint_list(endpoint_entry("w1", 5000, "draining", 77), index=41, snapshot=False), "list"
    )
    endpoint = received.entries[0].endpoint
    assert (received.index, received.is_snapshot, received.entries[0].address) == (41, False, (HOST, 5000))
    assert (endpoint.id, endpoint.zone, endpoint.state, endpoint.started_at_ms) == (
        "w1",
        "a",
        EndpointState.DRAINING,
        77.0,
    )
