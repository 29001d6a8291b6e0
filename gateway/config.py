"""The configuration of a process, read from the environment and the platform's JSON file.

Only this module and `gateway.interface.settings_reader` use the keys of the file.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from gateway.errors import ConfigError, SettingsError
from gateway.interface.events import Endpoint, EndpointState
from gateway.interface.json_object import JsonObject
from gateway.interface.settings import Settings
from gateway.interface.settings_reader import settings_from

Address = tuple[str, int]  # host and port

# Memory of a process in MB if the configuration states no limit.
DEFAULT_MEMORY_MB = 192.0

BYTES_PER_MB = 1024 * 1024

_STATES = {state.value: state for state in EndpointState}


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of the endpoint list, with the address at which the endpoint listens."""

    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A snapshot of the endpoint list, or the entries that have changed."""

    index: int  # version of the list; discovery sends changes since an index
    is_snapshot: bool
    entries: tuple[EndpointEntry, ...]  # all entries in a snapshot, otherwise the changed ones


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one process."""

    name: str  # name of this gateway
    listen: Address  # address for the connections of clients
    discovery: Address  # address of the discovery service
    seed: int  # seed of all random numbers
    max_descriptors: int  # limit on the descriptors that the process may open
    max_memory_bytes: int  # limit on the memory of the process
    settings: Settings  # settings of the decision package
    connect_timeout_ms: float  # time limit for the connection to an endpoint
    endpoint_idle_timeout_ms: float  # time after which an endpoint closes an idle connection
    initial_endpoints: EndpointList  # used until discovery sends its first list
    peer_listen: Address | None  # address for datagrams of other gateways; None: no gossip
    peers: tuple[Address, ...]  # addresses of all gateways of the fleet, by gateway number
    # Address at which a datagram reaches all other gateways of the fleet; None if there is no such address.
    peer_broadcast: Address | None
    admin_listen: Address | None = None  # address of the admin endpoint; None: there is no admin endpoint
    socket_folder: str = ""  # folder of the socket file for hot restarts; empty: no hot restarts

    @property
    def shares_addresses(self) -> bool:
        """Whether a successor may bind the same addresses while this process runs, for a hot restart."""
        return bool(self.socket_folder)


def address_from(text: object, path: str) -> Address:
    """Return the host and the port of 'host:port'.

    Raises SettingsError if the text is invalid; `path` is the path of the value in its document.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(path, f"expected 'host:port' with a port from 1 to 65535, received {text!r}")
    return host, int(port)


def endpoint_entry_from(row: JsonObject) -> EndpointEntry:
    """Return one entry of an endpoint list in discovery's format; raise SettingsError if it is malformed."""
    status = row.text("status")
    if status not in _STATES:
        raise SettingsError(
            f"{row.path}.status", f"expected one of {', '.join(_STATES)}, received {status!r}"
        )
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
    value: object, path: str, on_invalid_entry: Callable[[SettingsError], None] | None = None
) -> EndpointList:
    """Return the endpoint list in a parsed JSON value in discovery's format.

    Raises SettingsError, whose text starts with `path`, if the value is malformed. With `on_invalid_entry`,
    the error of a malformed entry is passed to that function instead, and the entry is omitted. An endpoint
    that is omitted from a snapshot is no longer used.
    """
    top = JsonObject(value, path)
    entries = []
    for index, row in enumerate(top.array("endpoints")):
        try:
            entries.append(endpoint_entry_from(JsonObject(row, f"{path}.endpoints[{index}]")))
        except SettingsError as error:
            if on_invalid_entry is None:
                raise
            on_invalid_entry(error)
    return EndpointList(int(top.number("index")), top.flag("snapshot", False), tuple(entries))


def config_from(value: object, environment: Mapping[str, str]) -> Config:
    """Return the configuration in a parsed JSON object.

    The environment provides the name and the addresses that the object lacks. Raises SettingsError if a
    required key is missing or a value is invalid.
    """
    top = JsonObject(value, "config")
    settings_object = top.object("settings")
    limits = settings_object.object("limits")
    process_limits = top.object("limits", {})
    settings = settings_from(settings_object.value, "config.settings")
    seed = _seed_from(top)
    peers = _peers_from(top, settings.gateways)
    admin_listen = top.text("control", environment.get("BALANCER_CONTROL", ""))
    peer_listen = top.text("peer_listen", "")
    peer_broadcast = top.text("peers_all", "")
    return Config(
        name=top.text("name", environment.get("BALANCER_NAME")),
        listen=address_from(top.text("listen", environment.get("BALANCER_LISTEN")), "config.listen"),
        discovery=address_from(
            top.text("discovery", environment.get("BALANCER_DISCOVERY")), "config.discovery"
        ),
        seed=seed,
        max_descriptors=int(process_limits.number("sockets", 1024.0)),
        max_memory_bytes=int(process_limits.number("memory_mb", DEFAULT_MEMORY_MB)) * BYTES_PER_MB,
        settings=settings,
        connect_timeout_ms=limits.number("dialTimeoutMs", 250.0),
        endpoint_idle_timeout_ms=limits.number("connIdleMs", 15_000.0),
        initial_endpoints=endpoint_list_from(
            top.object("known", {"index": 0, "endpoints": []}).value, "config.known"
        ),
        peer_listen=_optional_address_from(peer_listen, "config.peer_listen"),
        peers=peers,
        peer_broadcast=_optional_address_from(peer_broadcast, "config.peers_all"),
        admin_listen=_optional_address_from(admin_listen, "config.control"),
        socket_folder=environment.get("TMPDIR", ""),
    )


def _seed_from(top: JsonObject) -> int:
    seed = top.text("seed")
    try:
        return int(seed, 16)
    except ValueError as error:
        raise SettingsError("config.seed", f"expected a hexadecimal number, received {seed!r}") from error


def _peers_from(top: JsonObject, gateways: int) -> tuple[Address, ...]:
    peers = tuple(address_from(peer, "config.peers") for peer in top.strings("peers"))
    if peers and len(peers) != gateways:
        raise SettingsError(
            "config.peers", f"expected an address for each of {gateways} gateways, received {len(peers)}"
        )
    return peers


def _optional_address_from(text: str, path: str) -> Address | None:
    return address_from(text, path) if text else None


def load_config(environment: Mapping[str, str]) -> Config:
    """Return the configuration in the file whose path the variable BALANCER_CONFIG contains.

    Raises ConfigError if the variable is not set, or if the file cannot be read or is invalid.
    """
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG is not set: expected the path of the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
        return config_from(value, environment)
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from error
    except ValueError as error:  # invalid UTF-8, invalid JSON, or a SettingsError
        raise ConfigError(f"{path}: {error}") from error
