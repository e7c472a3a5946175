"""Generate the reference of all settings from their schemas."""

from galenapass.settings.daemon import DAEMON_SCHEMA
from galenapass.settings.fleet_schema import FLEET_SCHEMA
from galenapass.settings.schema import Key, Schema, Section

__all__ = ["format_reference"]

SCHEMAS = (DAEMON_SCHEMA, FLEET_SCHEMA)

PREAMBLE = """\
# Settings

Made by `galenapass reference` from the schemas in `galenapass.settings`; `make test`
checks that it is current.

Both files are INI in UTF-8. Keys are written as below, in lower case. Each section
and each key stands once. There is no interpolation. `#` and `;` begin a comment at the
start of a line. A list parts its items by commas and may go on in indented lines.

| kind of value | examples |
|---|---|
| time | `250 ms`, `5 s`, `2 min`, `1 h` |
| size, in powers of ten | `512 KB`, `4 MB` |
| data rate | `11 KB/s` |
| request rate | `40 req/s`, `30 req/min` |
| flag | `yes`, `no` |
| address: an IP number, never a name | `127.0.0.1:8080`, `[::1]:8080` |
| hours, over midnight too | `Mon-Sat 08:00-18:00`, `22:00-06:00`, `Sun 00:00-24:00` |
| name | letters, digits, `.`, `_`, `-`; at most 63 |
"""


def format_reference() -> str:
    """Return the reference as Markdown."""
    parts = [PREAMBLE]
    for schema in SCHEMAS:
        parts.append(_format_schema(schema))
    return "\n".join(parts)


def _format_schema(schema: Schema) -> str:
    sections = "\n".join(_format_section(section) for section in schema.sections)
    return f"## {schema.title}\n\n{schema.help}\n\n{sections}"


def _format_section(section: Section) -> str:
    how_often = "any number" if section.named else "once"
    need = "required" if section.required else "optional"
    lines = [f"### `[{section.header}]`", "", f"{section.help} ({how_often}, {need})"]
    lines += ["", "| key | default | meaning |", "|---|---|---|"]
    lines += [_format_key(key) for key in section.keys]
    return "\n".join(lines) + "\n"


def _format_key(key: Key) -> str:
    default = f"`{key.default}`" if key.default else "none"
    shown = "required" if key.required else default
    meaning = key.help + (f" Only with kind `{key.kind}`." if key.kind else "")
    return f"| `{key.name}` | {shown} | {meaning} |"
