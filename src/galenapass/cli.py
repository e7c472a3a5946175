"""Run galenapass, the operators' tool."""

import click

from galenapass import __version__
from galenapass.tool.chat import ask
from galenapass.tool.configuration_commands import apply, show
from galenapass.tool.fleet import roles, status, targets
from galenapass.tool.offline import check, hash_key, reference
from galenapass.tool.usage import usage

__all__ = ["main"]

EPILOG = """\b
Exit status:
  0  done
  1  refused or failed
  2  wrong usage, or faults in a file
  3  conflict: another version is in force
  4  unreachable, or no answer

\b
Shell completion:
  bash  eval "$(_GALENAPASS_COMPLETE=bash_source galenapass)"
  zsh   eval "$(_GALENAPASS_COMPLETE=zsh_source galenapass)"
  fish  _GALENAPASS_COMPLETE=fish_source galenapass | source
"""

COMMANDS = (
    check,
    apply,
    show,
    status,
    targets,
    roles,
    usage,
    ask,
    hash_key,
    reference,
)


@click.group(epilog=EPILOG, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="galenapass")
def main() -> None:
    """Apply operators' files to a fleet and read back what is in force."""


for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main(prog_name="galenapass")
