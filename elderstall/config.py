"""Reading, checking and defaults of the configuration.

An error message begins with the key at fault, or with the source ("config", "front", "RELAY_CONFIG") if the
whole of it cannot be used.
"""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from elderstall.interface import Settings
from elderstall.net.console import MAX_CONSOLE_CONNECTIONS
from elderstall.net.discovery import ListError, parse_list
from elderstall.settings import parse_settings

# Idle connections to workers are closed after this fraction of the workers' conn_idle, so that the dispatcher
# closes them clearly before the worker does.
IDLE_TIMEOUT_FRACTION = 0.8
OWN_DESCRIPTORS_DIVISOR = 16  # one descriptor in 16, and at least 16, is for the program itself
CONSOLE_DESCRIPTORS = MAX_CONSOLE_CONNECTIONS + 1  # reserved for the console, its listener included
WORKER_DESCRIPTORS_FRACTION = 0.3  # of the remaining descriptors, for connections to workers
CLIENT_SHEDDING_FRACTION = 0.8  # of the clients' descriptors; with more connections, some are shed
MIN_SOCKETS = 64  # the lowest limits.sockets that is accepted
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
IDLE_MEMORY_MIB = 24.0  # used by an idle program
# Of the memory beyond IDLE_MEMORY_MIB, for requests that are not complete yet; jobs may hold as much again.
KEPT_BYTES_FRACTION = 0.125
LIST_MEMORY_FRACTION = 0.5  # of the memory beyond IDLE_MEMORY_MIB, for the list, also while a new one is read
LIST_ENTRY_BYTES = 1_700  # an entry: 1,360 after a start, 1,800 after a later whole list (docs/CAPACITY.md)
MIN_LIST_ENTRIES = 1_024  # accepted whatever the memory limit
MIN_KEPT_MIB = 1.0  # for incomplete requests, whatever the memory limit


class ConfigError(Exception):
    """Configuration that cannot be used; the message begins with the key or the source."""


class UnreadableError(ConfigError):
    """A file that could not be read; a later attempt may succeed."""


@dataclass(frozen=True)
class Progress:
    """Settings of the listener that sends progress as server-sent events, from an operator's file."""

    enabled: bool = False
    retry_ms: int = 1_000  # reconnection time sent to clients in the stream
    remember: int = 4_096  # ids of begun streams retained, so that a reconnect does not run a job again
    coalesce_bytes: int = 16_384  # unread bytes of a slow client from which progress is coalesced


@dataclass(frozen=True)
class Config:
    """The whole configuration of a dispatcher, checked and completed with defaults."""

    name: str
    host: str
    port: int
    discovery: str
    seed: int
    settings: Settings
    known: Any  # the endpoint list in the file; None once it has been loaded
    live_weights: bool
    report_fields: tuple[str, ...]
    answer_slack_ms: float
    idle_timeout_ms: float
    connect_timeout_ms: float
    max_open: int
    worker_connections: int
    client_shedding_threshold: int
    max_client_connections: int
    kept_bytes_limit: int  # of requests that are not complete yet
    memory_limit_bytes: int  # of the process; the platform kills it above that
    progress: Progress = Progress()
    console: tuple[str, int] | None = None  # address of the operators' console
    # Where the processes of this dispatcher find each other during an upgrade.
    handover_directory: str | None = None
    max_list_entries: int = 1_000_000  # in one list of workers; follows from the memory limit
    raw: Any = field(default=None, compare=False, repr=False)  # the parsed file, without the list


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, colon, port = str(text).rpartition(":")
    is_address = (
        isinstance(text, str) and colon and host and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    )
    if not is_address or int(port) > MAX_PORT:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def read_number(
    section: Mapping[str, Any], name: str, default: float, key: str, minimum: float = 0.0
) -> float:
    """Return the number under ``name`` or the default; raise ConfigError if invalid or below ``minimum``."""
    value = section.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e15:
        raise ConfigError(f"{key}.{name}: {value!r} is not a number of at least {minimum:g}")
    return float(value)


def read_section(section: Mapping[str, Any], name: str, key: str = "") -> Mapping[str, Any]:
    """Return the object under ``name``, empty where it is missing."""
    value = section.get(name)
    if value is not None and not isinstance(value, dict):
        raise ConfigError(f"{key}{name}: must be an object")
    return value or {}


def load_progress(path: str | None) -> Progress:
    """Return the settings of the listener that sends progress; without a file it is disabled."""
    if not path:
        return Progress()
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise UnreadableError(f"front: {path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"front: {path}: {error}") from None
    section = read_section(raw, "progress", "front.")
    known = ("enabled", "retry_ms", "remember", "coalesce_bytes")
    for name in [*(n for n in raw if n != "progress"), *(f"progress.{n}" for n in section if n not in known)]:
        raise ConfigError(f"front.{name}: unknown key")
    enabled = section.get("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"front.progress.enabled: {enabled!r} is not true or false")
    defaults = Progress()
    values = {
        name: int(read_number(section, name, getattr(defaults, name), "front.progress", 1))
        for name in known[1:]
    }
    return Progress(enabled, **values)


def max_list_entries(memory: float) -> int:
    """Return how many entries of the endpoint list fit into a memory limit of ``memory`` MiB."""
    available_bytes = max(0.0, memory - IDLE_MEMORY_MIB) * LIST_MEMORY_FRACTION * 1024 * 1024
    return max(MIN_LIST_ENTRIES, int(available_bytes / LIST_ENTRY_BYTES))


def parse_config(raw: Any, env: Mapping[str, str], front: str | None = None) -> Config:
    """Return the checked configuration; keys that ``raw`` lacks may come from the environment."""
    if not isinstance(raw, dict):
        raise ConfigError("config: must be an object")

    def required_text(name: str) -> Any:
        value = raw.get(name, env.get(f"RELAY_{name.upper()}"))
        if not value or not isinstance(value, str):
            raise ConfigError(f"{name}: is missing or not a string")
        return value

    settings_raw = raw.get("settings")
    if not isinstance(settings_raw, dict):
        raise ConfigError("settings: is missing or not an object")
    rules = read_section(settings_raw, "rules", "settings.")
    limits = read_section(settings_raw, "limits", "settings.")
    report = read_section(settings_raw, "load_report", "settings.")
    try:
        settings = parse_settings(settings_raw)
        # On sockets, changes of the list arrive only over a watch, so the dispatcher always watches.
        # list_is_pushed keeps the original setting: the list is pushed where the file asks for no watch.
        settings = replace(settings, watches_list=True, list_is_pushed=not settings.watches_list)
    except KeyError as error:
        raise ConfigError(f"settings: {error} is missing") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    live = settings_raw.get("weight_source") == "live"
    known = raw.get("known") or {"index": 0, "snapshot": True, "endpoints": []}
    try:
        parse_list(known, live)
    except ListError as error:
        raise ConfigError(f"known: {error}") from None
    host, port = parse_address(required_text("listen"), "listen")
    parse_address(required_text("discovery"), "discovery")
    seed = raw.get("seed", "0")
    try:  # a JSON number is accepted, too; its fraction is cut off
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    sockets = int(read_number(read_section(raw, "limits"), "sockets", 1_024, "limits", MIN_SOCKETS))
    memory = read_number(read_section(raw, "limits"), "memory_mb", 128.0, "limits", 1)
    console = raw.get("console", env.get("RELAY_CONSOLE")) or None
    usable = sockets - max(16, sockets // OWN_DESCRIPTORS_DIVISOR) - (CONSOLE_DESCRIPTORS if console else 0)
    workers = int(usable * WORKER_DESCRIPTORS_FRACTION)
    fields = report.get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(f, str) for f in fields):
        raise ConfigError("settings.load_report.fields: must be a list of names")
    return Config(
        name=required_text("name"),
        host=host,
        port=port,
        discovery=required_text("discovery"),
        seed=seed,
        settings=settings,
        known=known,
        live_weights=live,
        report_fields=tuple(fields),
        answer_slack_ms=read_number(rules, "answer_slack", 0.0, "settings.rules"),
        idle_timeout_ms=read_number(limits, "conn_idle", 10_000.0, "settings.limits", 1)
        * IDLE_TIMEOUT_FRACTION,
        # 0 means the default, too.
        connect_timeout_ms=read_number(limits, "connect_timeout", 250.0, "settings.limits") or 250.0,
        max_open=int(read_number(limits, "max_open", 20_000, "settings.limits", 1)),
        worker_connections=workers,
        client_shedding_threshold=int((usable - workers) * CLIENT_SHEDDING_FRACTION),
        max_client_connections=usable - workers,
        kept_bytes_limit=int(
            max(MIN_KEPT_MIB, (memory - IDLE_MEMORY_MIB) * KEPT_BYTES_FRACTION) * 1024 * 1024
        ),
        memory_limit_bytes=int(memory * 1024 * 1024),
        progress=load_progress(front),
        console=parse_address(console, "console") if console else None,
        handover_directory=env.get("TMPDIR") or None,
        max_list_entries=max_list_entries(memory),
        raw={**raw, "known": None} if "known" in raw else raw,
    )  # raw without the list, which is kept only once


# Key of the file -> fields of Config that only a restart changes. merge_reloaded keeps ``seed`` too, but a
# change of it is not reported.
FIXED_FIELDS = {"name": "name", "listen": "host port", "console": "console"}


def changed_fixed_keys(old: Config, new: Config) -> list[str]:
    """Return the keys of FIXED_FIELDS that differ, and ``front.progress.enabled`` if it does."""
    keys = [
        key
        for key, names in FIXED_FIELDS.items()
        if any(getattr(old, name) != getattr(new, name) for name in names.split())
    ]
    return keys + ["front.progress.enabled"] * (old.progress.enabled is not new.progress.enabled)


def find_missing_key(old: Any, new: Any, prefix: str = "") -> str | None:
    """Return a key of ``old`` that is missing from ``new``, None if there is none.

    A key whose object or list has become a value of another type counts as missing. New entries of a list
    must have the keys that all old entries have. ``prefix`` is the path of ``old``: empty, or with a dot at
    its end, which is removed where the path itself is returned.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        for name, value in old.items():
            if name not in new:
                return f"{prefix}{name}"
            if (
                name != "known"
                and (found := find_missing_key(value, new[name], f"{prefix}{name}.")) is not None
            ):
                return found
    elif isinstance(old, list) and isinstance(new, list):
        entries = [e for e in old if isinstance(e, dict)]
        shared = {
            name: value
            for e in entries[:1]
            for name, value in e.items()
            if all(name in other for other in entries)
        }
        for index, entry in enumerate(new if entries else ()):
            if (found := find_missing_key(shared, entry, f"{prefix[:-1]}[{index}].")) is not None:
                return found
    elif isinstance(old, dict | list):
        return prefix[:-1]
    return None


def merge_reloaded(old: Config, new: Config) -> Config:
    """Return ``new`` with the fields of ``old`` that cannot change without a restart.

    Raises ConfigError if a key of the configuration in use is missing: a truncated file would otherwise be
    completed silently with defaults and the environment.
    """
    if (key := find_missing_key(old.raw, new.raw)) is not None:
        raise ConfigError(f"{key}: is missing; the configuration in use has it")
    return replace(
        new,
        name=old.name,
        host=old.host,
        port=old.port,
        console=old.console,
        seed=old.seed,
        progress=replace(new.progress, enabled=old.progress.enabled),
    )


def reject_constant(text: str) -> float:
    """Raise ValueError for NaN and Infinity, which Python's parser accepts but JSON does not allow."""
    raise ValueError(f"{text} is not valid JSON")


def load(path: str | None, env: Mapping[str, str], front: str | None = None) -> Config:
    """Read and check the configuration file at ``path`` or in RELAY_CONFIG."""
    path = path or env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: is not set, and no --config was given")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"), parse_constant=reject_constant)
    except OSError as error:
        raise UnreadableError(f"RELAY_CONFIG: {path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error}") from None
    return parse_config(raw, env, front or env.get("ELDERSTALL_FRONT"))
