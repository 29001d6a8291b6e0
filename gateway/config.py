"""The configuration: the environment and the platform's JSON file, translated into typed settings.

The keys are the pages' words; they are known here and in `gateway.interface.settings_reader` alone.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gateway.errors import ConfigError, SettingsError
from gateway.interface.events import Endpoint, EndpointState
from gateway.interface.json_object import JsonObject
from gateway.interface.settings import Settings
from gateway.interface.settings_reader import settings_from

Address = tuple[str, int]
_STATES = {state.value: state for state in EndpointState}  # discovery's words


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of discovery's list: the endpoint as the decisions know it, and where it listens."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One answer of discovery: a snapshot of the whole list, or the entries that have changed."""

    index: int  # the list's version
    is_snapshot: bool
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a gateway is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that it may use
    settings: Settings
    connect_timeout_ms: float
    idle_ms: float  # after which endpoints close idle connections
    known: EndpointList  # to begin with, until discovery answers
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None  # reaches all peers at once
    control: Address | None = None  # of the admin endpoint
    private_folder: str = ""  # where a process that follows this one finds it; empty: none may

    @property
    def shares_addresses(self) -> bool:
        """Whether a process may follow this one while it runs."""
        return bool(self.private_folder)


def address_from(text: Any, path: str) -> Address:
    """Return host and port of 'host:port'; raises SettingsError with the path."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(path, f"{text!r} is no address")
    return host, int(port)


def endpoint_entry_from(row: JsonObject) -> EndpointEntry:
    """Return one entry of a list in discovery's form; raises SettingsError."""
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
    value: Any, path: str, skipped: Callable[[SettingsError], None] | None = None
) -> EndpointList:
    """Return a list in discovery's form; raises SettingsError where it can't be read.

    With `skipped`, an entry that can't be read is reported there and left out, which ends the endpoint's use.
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


def config_from(value: Any, environment: Mapping[str, str]) -> Config:
    """Return the configuration in an object of JSON; the environment stands in for what the object lacks.

    Raises SettingsError.
    """
    top = JsonObject(value, "config")
    settings = top.object("settings")
    limits = settings.object("limits")
    own = settings_from(settings.value, "config.settings")
    seed = top.text("seed")
    try:
        seed_number = int(seed, 16)
    except ValueError as error:
        raise SettingsError("config.seed", f"{seed!r} is no hex number") from error
    peers = tuple(address_from(peer, "config.peers") for peer in top.words("peers"))
    if peers and len(peers) != own.gateways:
        raise SettingsError("config.peers", f"{len(peers)} for {own.gateways} gateways")
    control = top.text("control", environment.get("BALANCER_CONTROL", ""))
    peer_listen, peers_all = top.text("peer_listen", ""), top.text("peers_all", "")
    return Config(
        name=top.text("name", environment.get("BALANCER_NAME")),
        listen=address_from(top.text("listen", environment.get("BALANCER_LISTEN")), "config.listen"),
        discovery=address_from(
            top.text("discovery", environment.get("BALANCER_DISCOVERY")), "config.discovery"
        ),
        seed=seed_number,
        sockets=int(top.object("limits", {}).number("sockets", 1024.0)),
        settings=own,
        connect_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        idle_ms=limits.number("connIdleMs", 15_000.0),
        known=endpoint_list_from(top.object("known", {"index": 0, "endpoints": []}).value, "config.known"),
        peer_listen=address_from(peer_listen, "config.peer_listen") if peer_listen else None,
        peers=peers,
        peers_all=address_from(peers_all, "config.peers_all") if peers_all else None,
        control=address_from(control, "config.control") if control else None,
        private_folder=environment.get("TMPDIR", ""),
    )


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file that BALANCER_CONFIG names; raises ConfigError."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set")
    try:
        return config_from(json.loads(Path(path).read_text(encoding="utf-8")), environment)
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:  # no UTF-8, no JSON, or a SettingsError
        raise ConfigError(f"{path}: {error}") from error
