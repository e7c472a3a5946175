"""Read and write the operators' file in force."""

from dataclasses import dataclass

from result import Err, Ok, Result

from galenapass.settings.schema import Fault
from galenapass.tool.clients import Response, call, describe_refusal, read_problem
from galenapass.tool.options import Connection
from galenapass.tool.output import Exit, Failure

__all__ = ["NO_FILE", "StoredFile", "read_stored", "write_stored"]

DAEMON_PATH = "/configuration"
PLATFORM_PATH = "/objects/configurations/current"
CONFLICT_STATUSES = (409, 412)
FAULTS_STATUS = 400


@dataclass(slots=True, frozen=True)
class StoredFile:
    """Operators' file as stored, with its version."""

    version: int
    text: str


NO_FILE = StoredFile(0, "")
"""Result when no file is in force, or none of the requested version is stored."""


async def read_stored(
    connection: Connection, version: int | None = None
) -> Result[StoredFile, Failure]:
    """Return the file in force, or an older version that is still stored."""
    query = "" if version is None else f"?version={version}"
    response = await call(connection, "GET", _find_path(connection) + query)
    if isinstance(response, Err):
        return response
    found = response.ok_value
    if found.status == 404:
        return Ok(NO_FILE)
    if found.status != 200:
        return Err(describe_refusal(connection.name, found))
    if not found.version:
        return Err(Failure(Exit.FAILED, f"{connection.name} gave no version"))
    # The platform serves no older versions and answers with the current one.
    if version not in (None, found.version):
        return Ok(NO_FILE)
    return Ok(StoredFile(found.version, found.text))


async def write_stored(
    connection: Connection, text: str, base: int
) -> Result[int, Failure]:
    """Replace the base version by a new file; return the new version."""
    condition = {"If-Match": f'"{base}"'} if base else {"If-None-Match": "*"}
    headers = condition | {"Content-Type": "text/plain; charset=utf-8"}
    path = _find_path(connection)
    response = await call(connection, "PUT", path, headers, text)
    if isinstance(response, Err):
        return response
    found = response.ok_value
    if found.status == 200 and found.version:
        return Ok(found.version)
    return Err(_describe_write_failure(connection, found, base))


def _describe_write_failure(
    connection: Connection, response: Response, base: int
) -> Failure:
    problem = read_problem(response.body)
    if response.status in CONFLICT_STATUSES:
        return Failure(
            Exit.CONFLICT,
            f"conflict: the file is based on version {base}, "
            f"but version {response.version} is in force",
            versions=(base, response.version),
        )
    failure = describe_refusal(connection.name, response)
    if response.status == FAULTS_STATUS and problem.get("faults"):
        faults = tuple(_read_fault(fault) for fault in problem["faults"])
        return Failure(Exit.FAULTS, failure.message, faults=faults)
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
