"""Parser of a dispatcher's settings, as given by the simulator and the configuration file."""

from __future__ import annotations

import math
from typing import Any

from elderstall.interface import DeduplicationScope, Effect, JobClass, Settings, Tenant

Fields = dict[str, Any]


def require_positive(value: Any, name: str) -> Any:
    """Return a number that is positive and finite; raises ValueError otherwise."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ValueError(f"{name}: {value!r} is not a positive number")
    return value


def read_flag(fields: Fields, name: str, default: bool = False) -> bool:
    """Return a boolean field; raises ValueError for other types, as a string such as "no" is truthy."""
    value = fields.get(name)
    if value is not None and not isinstance(value, bool):
        raise ValueError(f"{name}: {value!r} is not true or false")
    return default if value is None else value


def parse_settings(conf: Fields) -> Settings:
    """Return the settings of a configuration; unknown keys are ignored.

    Where a default stands after ``or``, a configured 0 counts as not configured.
    """
    rules = conf.get("rules") or {}
    limits = conf.get("limits") or {}
    extras = conf.get("specifics") or {}
    fees = conf.get("fees") or {}
    kinds = conf.get("skus") or []
    report_fields = (conf.get("load_report") or {}).get("fields") or []
    class_kinds = extras.get("class_kind") or []
    stretches = extras.get("class_stretch") or []
    classes = []
    for index, raw_class in enumerate(conf["classes"]):
        kind_index = class_kinds[index] if index < len(class_kinds) else -1
        stretch = stretches[index] if index < len(stretches) else raw_class.get("aim_stretch") or 0.0
        classes.append(
            JobClass(
                name=raw_class["name"],
                priority_weight=raw_class["points"],
                latency_objective=raw_class["aim"],
                deadline=require_positive(raw_class["deadline"], "deadline"),
                effect=Effect(raw_class["effect"]),
                scope=DeduplicationScope(raw_class.get("key_scope") or "all"),
                deduplication_window=raw_class.get("memory_span") or 0.0,
                stretch=stretch,
                late_share=raw_class.get("late_share") or 0.0,
                kind=kinds[kind_index] if 0 <= kind_index < len(kinds) else None,
                streamed=read_flag(raw_class, "streamed"),
            )
        )
    free_slots_field = next(
        (
            name
            for name in ("x0", "x1")
            if name in report_fields and extras.get(f"report_{name}") == "free slots"
        ),
        None,
    )
    return Settings(
        classes=tuple(classes),
        tenants=tuple(
            Tenant(project["name"], project["quota_per_s"]) for project in conf.get("projects") or ()
        ),
        dispatchers=conf["balancers"],
        rank=conf.get("rank") or 0,
        zone=conf.get("locality"),
        over_quota_weight=conf.get("over_share_worth", 1.0),
        weight_by_work=conf.get("counted_by") == "work",
        watches_list=conf.get("discovery") == "subscribe",
        poll_interval=rules.get("ask_within") or 10_000.0,
        slow_start_share=rules.get("cold_share") or 1.0,
        slow_start_duration=rules.get("cold") or 0.0,
        slow_start_multiple=rules.get("fall_multiple") or 3.0,
        slow_start_window=rules.get("overload_for") or 2_000.0,
        # Not configured, or 0: at once, that is within a tick.
        stop_sending_within=rules.get("stop_sending_within") or conf.get("tick") or 1.0,
        max_attempts=require_positive(limits.get("max_attempts", 1), "max_attempts"),
        cpu_us_per_s=limits.get("cpu_us_per_s") or 0.0,
        cpu_us_per_job=limits.get("cpu_us_per_request") or 0.0,
        connect_timeout=limits.get("connect_timeout") or 0.0,
        notifies_start=read_flag(extras, "tells_start"),
        report_free_slots=report_fields.index(free_slots_field) if free_slots_field else None,
        tick=conf.get("tick") or 1.0,
        cross_zone_price=fees.get("cross_zone") or 0.0,
        fetch_price=fees.get("origin") or 0.0,
        probes=read_flag(limits, "probes"),
        cancels=read_flag(limits, "cancel", True),
        reports_only_when_polled=(conf.get("load_report") or {}).get("source") == "pull",
    )
