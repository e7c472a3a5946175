"""Read and write the operators' file in force."""

from dataclasses import dataclass

from result import Err, Ok, Result

from galenapass.settings.schema import Fault
from galenapass.tool.clients import Answer, call, judge_refusal, read_problem
from galenapass.tool.options import Connection
from galenapass.tool.output import Exit, Failure

__all__ = ["NOTHING", "Stored", "read_stored", "write_stored"]

DAEMON_PATH = "/configuration"
PLATFORM_PATH = "/objects/configurations/current"
CONFLICTS = (409, 412)
FAULTS = 400


@dataclass(slots=True, frozen=True)
class Stored:
    """Hold an operators' file as it was read back."""

    version: int
    text: str


NOTHING = Stored(0, "")
"""What stands for no file in force yet."""


async def read_stored(
    connection: Connection, version: int | None = None
) -> Result[Stored, Failure]:
    """Return the file in force, or an older one that is still held."""
    query = "" if version is None else f"?version={version}"
    answer = await call(connection, "GET", _find_path(connection) + query)
    if isinstance(answer, Err):
        return answer
    found = answer.ok_value
    if found.status == 404:
        return Ok(NOTHING)
    if found.status != 200:
        return Err(judge_refusal(connection.name, found))
    if not found.version:
        return Err(Failure(Exit.FAILED, f"{connection.name} gave no version"))
    # The platform knows of no older versions and answers with the current one.
    if version not in (None, found.version):
        return Ok(NOTHING)
    return Ok(Stored(found.version, found.text))


async def write_stored(
    connection: Connection, text: str, base: int
) -> Result[int, Failure]:
    """Put a file in force in place of its base; return its version."""
    condition = {"If-Match": f'"{base}"'} if base else {"If-None-Match": "*"}
    headers = condition | {"Content-Type": "text/plain; charset=utf-8"}
    path = _find_path(connection)
    answer = await call(connection, "PUT", path, headers, text)
    if isinstance(answer, Err):
        return answer
    found = answer.ok_value
    if found.status == 200 and found.version:
        return Ok(found.version)
    return Err(_judge_write(connection, found, base))


def _judge_write(connection: Connection, answer: Answer, base: int) -> Failure:
    problem = read_problem(answer.body)
    if answer.status in CONFLICTS:
        return Failure(
            Exit.CONFLICT,
            f"conflict: the file is based on version {base}, "
            f"but version {answer.version} is in force",
            versions=(base, answer.version),
        )
    failure = judge_refusal(connection.name, answer)
    if answer.status == FAULTS and problem.get("faults"):
        faults = tuple(_read_fault(fault) for fault in problem["faults"])
        return Failure(Exit.FAULTS, failure.sentence, faults=faults)
    return failure


def _read_fault(fault: dict[str, str]) -> Fault:
    line = str(fault.get("line", ""))
    return Fault(
        source=str(fault.get("source", "")),
        section=str(fault.get("section", "")),
        key=str(fault.get("key", "")),
        value=str(fault.get("value", "")),
        expected=str(fault.get("expected", "")),
        line=int(line) if line.isdecimal() else 0,
    )


def _find_path(connection: Connection) -> str:
    return PLATFORM_PATH if connection.is_platform else DAEMON_PATH
