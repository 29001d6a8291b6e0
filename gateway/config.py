"""The configuration: the environment and the platform's JSON file, translated into typed settings.

The keys of the file are used here and in `gateway.interface.settings_reader` only.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from gateway.errors import ConfigError, SettingsError
from gateway.interface.events import Endpoint, EndpointState
from gateway.interface.json_object import JsonObject
from gateway.interface.settings import Settings
from gateway.interface.settings_reader import settings_from

Address = tuple[str, int]
_STATES = {state.value: state for state in EndpointState}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list: the endpoint, and the address at which it listens."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A snapshot of the endpoint list, or the entries that have changed."""

    index: int  # version of the list
    is_snapshot: bool
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one process."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # of all random numbers
    max_descriptors: int  # limit on the descriptors that the process may open
    settings: Settings
    connect_timeout_ms: float
    endpoint_idle_timeout_ms: float  # time after which an endpoint closes an idle connection
    initial_endpoints: EndpointList  # used until discovery sends its first list
    peer_listen: Address | None
    peers: tuple[Address, ...]  # all gateways of the fleet, by number
    peer_broadcast: Address | None  # a datagram to this address reaches all other gateways
    admin_listen: Address | None = None  # address of the admin endpoint; None: there is no admin endpoint
    socket_folder: str = ""  # folder of the socket file for hot restarts; empty: no hot restarts

    @property
    def shares_addresses(self) -> bool:
        """Whether a successor may bind the same addresses while this process runs."""
        return bool(self.socket_folder)


def address_from(text: object, path: str) -> Address:
    """Return host and port of 'host:port'; raises SettingsError with the path."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(path, f"{text!r} is no address")
    return host, int(port)


def endpoint_entry_from(row: JsonObject) -> EndpointEntry:
    """Return one entry of a list in discovery's format; raises SettingsError."""
    status = row.text("status")
    if status not in _STATES:
        raise SettingsError(f"{row.path}.status", f"{status!r} is no status")
    endpoint = Endpoint(
        row.text("name"),
        row.text("zone", ""),
        int(row.number("group", 0.0)),
        _STATES[status],
        row.number("weight", 1.0),
        row.number("since_ms", 0.0),
    )
    return EndpointEntry(endpoint, address_from(row.text("address"), f"{row.path}.address"))


def endpoint_list_from(
    value: object, path: str, skipped: Callable[[SettingsError], None] | None = None
) -> EndpointList:
    """Return a list in discovery's format; raises SettingsError if it is malformed.

    With `skipped`, a malformed entry is reported there and left out, which ends the use of the endpoint.
    """
    top = JsonObject(value, path)
    entries = []
    for number, row in enumerate(top.array("endpoints")):
        try:
            entries.append(endpoint_entry_from(JsonObject(row, f"{path}.endpoints[{number}]")))
        except SettingsError as error:
            if skipped is None:
                raise
            skipped(error)
    return EndpointList(int(top.number("index")), top.flag("snapshot", False), tuple(entries))


def config_from(value: object, environment: Mapping[str, str]) -> Config:
    """Return the configuration in a JSON object; the environment provides what the object lacks.

    Raises SettingsError.
    """
    top = JsonObject(value, "config")
    settings = top.object("settings")
    limits = settings.object("limits")
    own = settings_from(settings.value, "config.settings")
    seed = _seed_from(top)
    peers = _peers_from(top, own.gateways)
    control = top.text("control", environment.get("BALANCER_CONTROL", ""))
    peer_listen = top.text("peer_listen", "")
    peer_broadcast = top.text("peers_all", "")
    return Config(
        name=top.text("name", environment.get("BALANCER_NAME")),
        listen=address_from(top.text("listen", environment.get("BALANCER_LISTEN")), "config.listen"),
        discovery=address_from(
            top.text("discovery", environment.get("BALANCER_DISCOVERY")), "config.discovery"
        ),
        seed=seed,
        max_descriptors=int(top.object("limits", {}).number("sockets", 1024.0)),
        settings=own,
        connect_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        endpoint_idle_timeout_ms=limits.number("connIdleMs", 15_000.0),
        initial_endpoints=endpoint_list_from(
            top.object("known", {"index": 0, "endpoints": []}).value, "config.known"
        ),
        peer_listen=_optional_address_from(peer_listen, "config.peer_listen"),
        peers=peers,
        peer_broadcast=_optional_address_from(peer_broadcast, "config.peers_all"),
        admin_listen=_optional_address_from(control, "config.control"),
        socket_folder=environment.get("TMPDIR", ""),
    )


def _seed_from(top: JsonObject) -> int:
    seed = top.text("seed")
    try:
        return int(seed, 16)
    except ValueError as error:
        raise SettingsError("config.seed", f"{seed!r} is no hex number") from error


def _peers_from(top: JsonObject, gateways: int) -> tuple[Address, ...]:
    peers = tuple(address_from(peer, "config.peers") for peer in top.strings("peers"))
    if peers and len(peers) != gateways:
        raise SettingsError("config.peers", f"{len(peers)} for {gateways} gateways")
    return peers


def _optional_address_from(text: str, path: str) -> Address | None:
    return address_from(text, path) if text else None


def load_config(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file that BALANCER_CONFIG names.

    Raises ConfigError if the file cannot be read or is invalid.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return config_from(json.loads(Path(path).read_text(encoding="utf-8")), environment)
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:  # invalid UTF-8, invalid JSON, or a SettingsError
        raise ConfigError(f"{path}: {error}") from error
