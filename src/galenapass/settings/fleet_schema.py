"""Define the sections and keys of the operators' file."""

from result import Result

from galenapass.settings.addresses import parse_target_address
from galenapass.settings.hours import parse_hours
from galenapass.settings.schema import Key, Schema, Section
from galenapass.settings.values import (
    parse_call,
    parse_choice,
    parse_count,
    parse_duration,
    parse_flag,
    parse_key_hash,
    parse_list,
    parse_name,
    parse_positive,
    parse_request_rate,
    parse_text,
    parse_weight,
    parse_zone,
)
from galenapass.tables.requests import Urgency
from galenapass.tables.targets import Role, TargetKind

__all__ = ["ENGINE", "FLEET_SCHEMA", "KIND_NAMES", "PLAIN"]

ENGINE = "engine"
PLAIN = "plain"
KINDS = {ENGINE: TargetKind.ENGINE, PLAIN: TargetKind.SERVICE}
KIND_NAMES = {kind: name for name, kind in KINDS.items()}
ROLES: dict[str, Role | None] = {"auto": None} | {role.value: role for role in Role}
URGENCIES = {urgency.name.lower(): urgency for urgency in Urgency}


def _parse_names(text: str) -> Result[frozenset[str], str]:
    return parse_list(parse_name)(text).map(frozenset)


def _parse_calls(text: str) -> Result[frozenset[str], str]:
    return parse_list(parse_call, may_be_empty=True)(text).map(frozenset)


FLEET_SCHEMA = Schema(
    "The operators' file",
    "One file for the whole fleet, applied as a whole.",
    (
        Section(
            "fleet",
            "What holds for the whole fleet.",
            (
                Key(
                    "time zone",
                    "zone",
                    parse_zone,
                    "Time zone of all hours in the file.",
                    "UTC",
                ),
                Key(
                    "role change weight",
                    "role_change_weight",
                    parse_weight,
                    "Factor on the time that a role change takes an engine away.",
                    "1",
                ),
                Key(
                    "quarantine",
                    "quarantine",
                    parse_duration,
                    "Wait before a different order to a target that ignores "
                    "fencing numbers.",
                    "30 s",
                ),
            ),
        ),
        Section(
            "service",
            "A service that callers use.",
            (
                Key(
                    "kind",
                    "kind",
                    parse_choice(KINDS),
                    "`engine` for model engines, `plain` for plain services.",
                    required=True,
                ),
                Key(
                    "model",
                    "model",
                    parse_text,
                    "Model that the engines serve; an engine service needs it.",
                    kind=ENGINE,
                ),
                Key(
                    "share",
                    "share",
                    parse_positive,
                    "Weight of the service when the fleet is short.",
                    "1",
                ),
                Key(
                    "prefill floor",
                    "floor_prefill",
                    parse_count,
                    "Least number of engines that run prefill.",
                    "0",
                    kind=ENGINE,
                ),
                Key(
                    "decode floor",
                    "floor_decode",
                    parse_count,
                    "Least number of engines that run decode.",
                    "0",
                    kind=ENGINE,
                ),
                Key(
                    "repeatable calls",
                    "repeatable",
                    _parse_calls,
                    "Calls that may run twice, each METHOD /PATH.",
                    "",
                    kind=PLAIN,
                ),
            ),
            named=True,
        ),
        Section(
            "target",
            "A model engine or a plain service of the fleet.",
            (
                Key(
                    "service",
                    "service",
                    parse_name,
                    "Service that the target belongs to.",
                    required=True,
                ),
                Key(
                    "address",
                    "address",
                    parse_target_address,
                    "Address that the target listens on.",
                    required=True,
                ),
                Key(
                    "domain",
                    "domain",
                    parse_name,
                    "Failure domain of the target.",
                    required=True,
                ),
                Key(
                    "role",
                    "role",
                    parse_choice(ROLES),
                    "`auto`, or `mixed`, `prefill` or `decode` to keep it so.",
                    "auto",
                    kind=ENGINE,
                ),
                Key(
                    "checks fencing",
                    "checks_fencing",
                    parse_flag,
                    "Whether the target refuses orders with an old fencing number.",
                    "yes",
                    kind=ENGINE,
                ),
            ),
            named=True,
        ),
        Section(
            "caller",
            "A group of callers that share a key.",
            (
                Key(
                    "key sha256",
                    "key_hash",
                    parse_key_hash,
                    "SHA-256 of the callers' key.",
                    required=True,
                ),
                Key(
                    "services",
                    "services",
                    _parse_names,
                    "Services that the callers may use.",
                    required=True,
                ),
                Key(
                    "urgency",
                    "urgency",
                    parse_choice(URGENCIES),
                    "Class outside the urgent hours: `urgent`, `normal` or `bulk`.",
                    "normal",
                ),
                Key(
                    "urgent hours",
                    "urgent_hours",
                    parse_list(parse_hours, may_be_empty=True),
                    "Hours in which the class is urgent.",
                    "",
                ),
                Key(
                    "patience",
                    "patience",
                    parse_duration,
                    "How long the callers wait for an answer.",
                    "60 s",
                ),
                Key(
                    "urgent patience",
                    "urgent_patience",
                    parse_duration,
                    "How long the callers wait while their class is urgent.",
                    "8 s",
                ),
                Key(
                    "rate",
                    "rate",
                    parse_request_rate,
                    "Most requests that are admitted.",
                    "40 req/s",
                ),
                Key(
                    "share",
                    "share",
                    parse_positive,
                    "Weight of the callers when the fleet is short.",
                    "1",
                ),
            ),
            named=True,
        ),
    ),
)
