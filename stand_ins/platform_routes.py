"""Define an example of the platform's configuration."""

from typing import Any

__all__ = [
    "CONFIGURATION",
    "HOST",
    "list_organisations",
    "make_headers",
    "make_organisations",
    "make_route",
]

HOST = "a.example"


def make_route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration; ``changes`` replace its fields."""
    return {
        "name": prefix.strip("/"),
        "hostname": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "resumable": False,
    } | changes


CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        make_route("/notes/", "streaming", "lm", resumable=True),
        make_route("/once/", "streaming", "lm", attempts=1),
        make_route("/hold/", "non_idempotent", "desk", attempts=1),
        make_route("/seats/", "idempotent", "desk"),
    ],
    "services": [
        {"name": "lm", "engine": {"kv_tokens": 500_000, "reconfig_s": 0.1}},
        {"name": "desk"},
    ],
    "limits": {"idle_timeout_ms": 15000},
}


def make_organisations(
    version: int, keys: dict[str, list[str]], public: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Return a version of the example whose organisations have ``keys`` by name.

    The routes named ``public`` need no key.
    """
    routes = [
        route | {"public": route["name"] in public} for route in CONFIGURATION["routes"]
    ]
    changes = {"version": version, "tenants": list_organisations(keys)}
    return CONFIGURATION | {"routes": routes} | changes


def list_organisations(keys: dict[str, list[str]]) -> list[dict[str, Any]]:
    """Return the organisations of a configuration, which have ``keys`` by name."""
    return [{"name": name, "api_keys": own} for name, own in keys.items()]


def make_headers(
    attempt: str, deadline_ms: int, output_tokens: int = 4
) -> dict[str, str]:
    """Return a client's headers for one attempt of at most ``output_tokens``."""
    return {
        "Host": HOST,
        "X-Galenapass-Attempt-Id": attempt,
        "X-Galenapass-Deadline-Ms": str(deadline_ms),
        "X-Galenapass-Token-Count": f"1200,{output_tokens}",
        "X-Galenapass-Prompt-Prefix": "aa:1000,bb:200",
    }
