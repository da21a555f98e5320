"""The one place where configuration is read, checked and given defaults; every error names its key."""

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

IDLE_PART = 0.8  # of the workers' conn_idle that our connections stay idle: clearly earlier
OWN_PART = 16  # one descriptor in so many, and 16 at least, is for the program itself
CONSOLE_OWN = MAX_CONSOLE_CONNECTIONS + 1  # descriptors reserved for the console, its listener included
WORKER_PART = 0.3  # of the others are for connections to workers
SOFT_PART = 0.8  # of the clients' descriptors are used before connections are shed
MIN_SOCKETS = 64
PORT_MOST, PORT_DIGITS = 65_535, 5
FOOTPRINT = 24.0  # MiB that the program takes with nothing to do, measured
READING_PART = 0.125  # of the memory beyond it may go to requests not whole yet; jobs may hold as much
LIST_PART = 0.5  # of the memory beyond it may go to the list of workers, also while a new one is read
ENTRY_BYTES = 1_700  # an entry: 1,360 after a start, 1,800 after a later whole list (docs/CAPACITY.md)
MIN_LIST_ENTRIES = 1_024  # of a list are held whatever the limit
READING_LEAST = 1.0  # MiB for them, however little there is


class ConfigError(Exception):
    """Configuration that cannot be used; the message begins with the key."""


class UnreadableError(ConfigError):
    """A file that could not be read; a moment later it may be."""


@dataclass(frozen=True)
class Progress:
    """The front with server-sent events, as an operator's file sets it up."""

    enabled: bool = False
    retry_ms: int = 1_000  # told to clients in the stream
    remember: int = 4_096  # ids of begun streams, so that a reconnect does not run a job again
    coalesce_bytes: int = 16_384  # unread bytes of a slow client from which progress is coalesced


@dataclass(frozen=True)
class Config:
    """Everything the program is told at its start."""

    name: str
    host: str
    port: int
    discovery: str
    seed: int
    settings: Settings
    known: Any
    live_weights: bool
    report_fields: tuple[str, ...]
    answer_slack_ms: float
    idle_timeout_ms: float
    connect_timeout_ms: float
    max_open: int
    worker_connections: int
    client_shedding_threshold: int
    max_client_connections: int
    kept_bytes_limit: int
    progress: Progress = Progress()
    console: tuple[str, int] | None = None  # the second address to listen on
    folder: str | None = None  # where this dispatcher's processes find each other
    max_list_entries: int = 1_000_000  # of one list of workers, by the memory limit
    raw: Any = field(default=None, compare=False, repr=False)  # the file, as it was read


def address_of(text: Any, key: str) -> tuple[str, int]:
    """Read ``host:port``."""
    host, colon, port = str(text).rpartition(":")
    known = isinstance(text, str) and colon and host and port.isdecimal() and len(port) <= PORT_DIGITS
    if not known or int(port) > PORT_MOST:
        raise ConfigError(f"{key}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def number(at: Mapping[str, Any], name: str, default: float, key: str, least: float = 0.0) -> float:
    """Read a number that is at least so much."""
    value = at.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < 1e15:
        raise ConfigError(f"{key}.{name}: {value!r} is no number from {least:g}")
    return float(value)


def table(at: Mapping[str, Any], name: str, key: str = "") -> Mapping[str, Any]:
    """Read a part that may be missing."""
    value = at.get(name)
    if value is not None and not isinstance(value, dict):
        raise ConfigError(f"{key}{name}: must be an object")
    return value or {}


def progress_of(path: str | None) -> Progress:
    """Read the operator's file of the second front; with none it is off."""
    if not path:
        return Progress()
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise UnreadableError(f"front: {path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"front: {path}: {error}") from None
    part = table(raw, "progress", "front.")
    known = ("enabled", "retry_ms", "remember", "coalesce_bytes")
    for name in [*(n for n in raw if n != "progress"), *(f"progress.{n}" for n in part if n not in known)]:
        raise ConfigError(f"front.{name}: unknown key")
    enabled = part.get("enabled", False)
    if not isinstance(enabled, bool):
        raise ConfigError(f"front.progress.enabled: {enabled!r} is not true or false")
    base = Progress()
    figures = {name: int(number(part, name, getattr(base, name), "front.progress", 1)) for name in known[1:]}
    return Progress(enabled, **figures)


def max_list_entries(memory: float) -> int:
    """Give how many entries of the list of workers a memory limit of so many MiB can hold."""
    room = max(0.0, memory - FOOTPRINT) * LIST_PART * 1024 * 1024
    return max(MIN_LIST_ENTRIES, int(room / ENTRY_BYTES))


def config_of(raw: Any, env: Mapping[str, str], front: str | None = None) -> Config:
    """Check the platform's object; what it lacks may come from the environment."""
    if not isinstance(raw, dict):
        raise ConfigError("config: must be an object")

    def told(name: str) -> Any:
        value = raw.get(name, env.get(f"RELAY_{name.upper()}"))
        if not value or not isinstance(value, str):
            raise ConfigError(f"{name}: is missing or no text")
        return value

    settings_raw = raw.get("settings")
    if not isinstance(settings_raw, dict):
        raise ConfigError("settings: is missing or no object")
    rules, limits = table(settings_raw, "rules", "settings."), table(settings_raw, "limits", "settings.")
    report = table(settings_raw, "load_report", "settings.")
    try:
        settings = parse_settings(settings_raw)
        # On sockets a watch is the only way to changes, also where an agent pushes them: what it has counts
        # as told whether or not we watch.
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
    host, port = address_of(told("listen"), "listen")
    address_of(told("discovery"), "discovery")
    seed = raw.get("seed", "0")
    try:
        seed = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (ValueError, TypeError, OverflowError):
        raise ConfigError(f"seed: {seed!r} is no hexadecimal number") from None
    sockets = int(number(table(raw, "limits"), "sockets", 1_024, "limits", MIN_SOCKETS))
    memory = number(table(raw, "limits"), "memory_mb", 128.0, "limits", 1)
    console = raw.get("console", env.get("RELAY_CONSOLE")) or None
    usable = sockets - max(16, sockets // OWN_PART) - (CONSOLE_OWN if console else 0)
    workers = int(usable * WORKER_PART)
    fields = report.get("fields") or []
    if not isinstance(fields, list) or not all(isinstance(f, str) for f in fields):
        raise ConfigError("settings.load_report.fields: must be names")
    return Config(
        name=told("name"),
        host=host,
        port=port,
        discovery=told("discovery"),
        seed=seed,
        settings=settings,
        known=known,
        live_weights=live,
        report_fields=tuple(fields),
        answer_slack_ms=number(rules, "answer_slack", 0.0, "settings.rules"),
        idle_timeout_ms=number(limits, "conn_idle", 10_000.0, "settings.limits", 1) * IDLE_PART,
        connect_timeout_ms=number(limits, "connect_timeout", 250.0, "settings.limits") or 250.0,
        max_open=int(number(limits, "max_open", 20_000, "settings.limits", 1)),
        worker_connections=workers,
        client_shedding_threshold=int((usable - workers) * SOFT_PART),
        max_client_connections=usable - workers,
        kept_bytes_limit=int(max(READING_LEAST, (memory - FOOTPRINT) * READING_PART) * 1024 * 1024),
        progress=progress_of(front),
        console=address_of(console, "console") if console else None,
        folder=env.get("TMPDIR") or None,
        max_list_entries=max_list_entries(memory),
        raw={**raw, "known": None} if "known" in raw else raw,
    )  # the list is not kept a second time


FIXED = {"name": "name", "listen": "host port", "console": "console"}  # what the sockets were made with


def fixed_keys(old: Config, new: Config) -> list[str]:
    """Name the keys that differ and that a running program cannot change."""
    keys = [
        key
        for key, names in FIXED.items()
        if any(getattr(old, name) != getattr(new, name) for name in names.split())
    ]
    return keys + ["front.progress.enabled"] * (old.progress.enabled is not new.progress.enabled)


def lacking(old: Any, new: Any, key: str = "") -> str | None:
    """Name a key that a file lacks and the one in use has; of lists, what every old entry has."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name, value in old.items():
            if name not in new:
                return f"{key}{name}"
            if name != "known" and (found := lacking(value, new[name], f"{key}{name}.")) is not None:
                return found
    elif isinstance(old, list) and isinstance(new, list):
        entries = [e for e in old if isinstance(e, dict)]
        shared = {
            name: value
            for e in entries[:1]
            for name, value in e.items()
            if all(name in other for other in entries)
        }
        for n, entry in enumerate(new if entries else ()):
            if (found := lacking(shared, entry, f"{key[:-1]}[{n}].")) is not None:
                return found
    elif isinstance(old, dict | list):
        return key[:-1]
    return None


def reloaded(old: Config, new: Config) -> Config:
    """Give the configuration of a program that runs on: all is new but what its sockets were made with.

    Guards against a file cut short, or with a key left out: defaults and the environment would fill the gap.
    """
    if (key := lacking(old.raw, new.raw)) is not None:
        raise ConfigError(f"{key}: is missing, the file in use has it")
    return replace(
        new,
        name=old.name,
        host=old.host,
        port=old.port,
        console=old.console,
        seed=old.seed,
        progress=replace(new.progress, enabled=old.progress.enabled),
    )


def no_number(text: str) -> float:
    """Turn down NaN and Infinity, which JSON does not know and Python's reader takes."""
    raise ValueError(f"{text} is no JSON")


def load(path: str | None, env: Mapping[str, str], front: str | None = None) -> Config:
    """Read the file that the platform names."""
    path = path or env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG: is not set, and no --config was given")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"), parse_constant=no_number)
    except OSError as error:
        raise UnreadableError(f"RELAY_CONFIG: {path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path}: {error}") from None
    return config_of(raw, env, front or env.get("ELDERSTALL_FRONT"))
