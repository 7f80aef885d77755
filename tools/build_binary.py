"""Builds the executable file: a zip archive that Python runs in place.

The archive holds the project and its dependencies without compiled modules,
as they are installed for the running interpreter.  Running it unpacks nothing
and starts no other process.
"""

import argparse
import importlib.metadata
import pathlib
import shutil
import tempfile
from typing import Final
import zipapp

_REQUIREMENTS: Final = pathlib.Path("requirements.txt")
_PROJECT: Final = "kingcuplever"
_IGNORE_PATTERNS: Final = shutil.ignore_patterns(
    "__pycache__", "*.so", "*.pyd", "*.c", "*.h", "tests", "_tests"
)


def main() -> None:
    """Build the archive at the path given by the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", required=True, type=pathlib.Path)
    output: pathlib.Path = parser.parse_args().output
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        shutil.copytree(_PROJECT, root / _PROJECT, ignore=_IGNORE_PATTERNS)
        for name in _list_distributions():
            _copy_distribution(name, root)
        zipapp.create_archive(
            root,
            output,
            interpreter="/usr/bin/env python3",
            main=f"{_PROJECT}.command.main:run_and_exit",
            compressed=True,
        )
    print(f"{output}: {output.stat().st_size // 1024} KiB")


def _list_distributions() -> list[str]:
    lines = _REQUIREMENTS.read_text(encoding="utf-8").splitlines()
    return [
        line.partition("==")[0]
        for line in lines
        if line and not line.startswith("#")
    ]


def _copy_distribution(name: str, root: pathlib.Path) -> None:
    """Copy one installed distribution's Python files and metadata."""
    for file in importlib.metadata.files(name) or ():
        if ".." in file.parts or "tests" in file.parts:
            continue
        if "_tests" in file.parts or "__pycache__" in file.parts:
            continue
        if file.suffix in (".so", ".pyd", ".c", ".h", ".pyc"):
            continue
        target = root / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), target)


if __name__ == "__main__":
    main()
