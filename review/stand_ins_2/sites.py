"""Settings of small deployments, in the form and with the figures of the operators' pages."""

from __future__ import annotations

from typing import Any


def job_class(
    name: str, effect: str, aim: float, deadline: float, points: float, *, span: float = 5000.0
) -> dict[str, Any]:
    """Return a class of the settings."""
    return {
        "aim": aim,
        "deadline": deadline,
        "effect": effect,
        "key_scope": "all",
        "late_share": 0.0,
        "memory_span": span,
        "name": name,
        "points": points,
        "streamed": False,
    }


def bogota(balancers: int = 3) -> dict[str, Any]:
    """Return the settings of the first deployment, as the wire page shows them."""
    return {
        "azs": ["bog-1"],
        "balancers": balancers,
        "blend": {"whole": 0.25, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.45},
        "classes": [
            job_class("deck-fetch", "safe", 250.0, 5000.0, 2.0),
            job_class("deck-build", "unsafe", 600.0, 15000.0, 5.0),
            job_class("print-order", "unsafe", 1000.0, 20000.0, 10.0),
            job_class("deck-purchase", "unsafe", 150.0, 5000.0, 10.0),
        ],
        "client_habits": {"marks_retry": True},
        "counted_by": "work",
        "discovery": "subscribe",
        "fees": {"connection": 0.0, "handshake": 0.02, "late_fail": 0.038, "probe": 0.0015, "waste": 0.037},
        "kind_of_service": "jobs",
        "layers": ["tarjeta-workers"],
        "limits": {
            "cancel": True,
            "conn_idle": 10000.0,
            "connect_timeout": 250.0,
            "cpu_us_per_request": 10.0,
            "cpu_us_per_s": 8000,
            "max_attempts": 5,
            "max_open": 20000,
            "max_retry_after": 2000.0,
            "max_streams": 1,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "load_report": {"fields": ["served_ps", "cpu_share", "x0"], "source": "piggyback"},
        "locality": "bog-1",
        "over_share_worth": 0.05,
        "projects": [
            {"name": "red-colegios-norte", "portion": 0.54, "quota_per_s": 13.0},
            {"name": "red-valle", "portion": 0.25, "quota_per_s": 6.0},
            {"name": "red-costa", "portion": 0.21, "quota_per_s": 5.0},
        ],
        "rank": 0,
        "rules": {
            "answer_slack": 8.0,
            "ask_within": 10000.0,
            "cold": 9000.0,
            "cold_share": 0.42,
            "fall_multiple": 4.0,
            "overload_for": 2000.0,
            "stop_sending_within": 2000.0,
        },
        "skus": ["fast-2c", "slow-2c"],
        "specifics": {
            "class_kind": [-1, -1, -1, -1],
            "class_priority": [0, 0, 1, 1],
            "class_stretch": [2.0, 2.5, 2.0, 1.75],
            "memory_unit": "a worker has one unit for each slot",
            "notes": "1 it has started, 2 share done",
            "progress": 2000.0,
            "queue_order": "fifo",
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": False,
        },
        "tick": 2.0,
        "tier": 0,
        "weight_source": "nominal",
    }


def kathmandu(balancers: int = 4) -> dict[str, Any]:
    """Return the settings of the second deployment."""
    settings = bogota(balancers)
    settings.update(
        {
            "azs": ["ktm-a", "ktm-b", "pokhara"],
            "classes": [
                job_class("board-build", "safe", 300.0, 5000.0, 3.0),
                job_class("move-log", "unsafe", 200.0, 5000.0, 3.0),
                job_class("star-award", "keyed", 200.0, 5000.0, 8.0, span=7500.0),
            ],
            "layers": ["board-workers"],
            "load_report": {"fields": ["x0", "cpu_share"], "source": "pull"},
            "locality": "ktm-a",
            "projects": [
                {"name": "valley-schools", "portion": 0.71, "quota_per_s": 38.0},
                {"name": "home-players", "portion": 0.29, "quota_per_s": 15.0},
            ],
            "skus": ["big-3core", "small-2core"],
        }
    )
    settings["fees"] = {"cross_zone": 0.03, "late_fail": 0.1, "probe": 0.01, "waste": 0.08}
    settings["limits"].update(
        {
            "conn_idle": 15000.0,
            "cpu_us_per_s": 80000,
            "cpu_us_per_request": 0.0,
            "max_attempts": 6,
            "second_copies": True,
        }
    )
    settings["rules"].update(
        {
            "cold": 8800.0,
            "cold_share": 0.3,
            "overload_for": 1500.0,
            "stop_sending_within": 500.0,
        }
    )
    settings["specifics"].update(
        {
            "class_kind": [-1, -1, -1],
            "class_priority": [0, 0, 0],
            "class_stretch": [1.75, 2.0, 2.0],
            "progress": 1000.0,
        }
    )
    return settings


def config(
    settings: dict[str, Any], listen: int, discovery: int, known: dict[str, Any], **more: Any
) -> dict[str, Any]:
    """Return the configuration of one dispatcher."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
        **more,
    }
