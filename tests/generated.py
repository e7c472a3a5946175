"""Check that the committed generated code matches the output of its generator."""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
PROTO = ROOT / "src" / "galenapass" / "peers" / "peers.proto"


def _generate(target: pathlib.Path) -> None:
    command = [
        sys.executable,
        "-m",
        "grpc_tools.protoc",
        f"--proto_path={ROOT / 'src'}",
        f"--python_out={target}",
        f"--pyi_out={target}",
        f"--grpclib_python_out={target}",
        str(PROTO),
    ]
    plugins = str(pathlib.Path(sys.executable).parent)
    subprocess.run(command, check=True, env={"PATH": plugins})


def main() -> int:
    """Return 1 if a generated file differs from the committed one, else 0."""
    if not PROTO.exists():
        return 0
    with tempfile.TemporaryDirectory() as folder:
        _generate(pathlib.Path(folder))
        generated = sorted(pathlib.Path(folder).rglob("*.py*"))
        stale = [p.name for p in generated if _differs(p, pathlib.Path(folder))]
    print(f"generated code: {len(generated)} files, out of date: {stale or 'none'}")
    return 1 if stale else 0


def _differs(path: pathlib.Path, folder: pathlib.Path) -> bool:
    committed = ROOT / "src" / path.relative_to(folder)
    return not committed.exists() or committed.read_bytes() != path.read_bytes()


if __name__ == "__main__":
    sys.exit(main())
