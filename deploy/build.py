"""Builds the program for the platform's instances into ``target/``.

It is compiled here because instances can't store bytecode and would compile every
module at each start.
"""

import marshal
import py_compile
import shutil
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
APP = ROOT / "target/app"
PACKAGES = (
    ROOT / "libs/lean/src/lagoontally_lean",
    ROOT / "libs/flows/src/lagoontally_flows",
    ROOT / "libs/forwarder/src/lagoontally_forwarder",
    ROOT / "platform/lagoontally_platform",
)
ENTRY = ROOT / "deploy/balancer.py"
PROGRAM = "program.bin"  # the same name as in deploy/balancer.py
OPTIMIZE = 2  # strips docstrings and assertions


def compile_program(app=APP):
    """Write the entry script's bytecode and one file with the code of all modules.

    Args:
        app: Folder to write them to; it is emptied first.
    """
    shutil.rmtree(app, ignore_errors=True)
    app.mkdir(parents=True)
    modules = {}
    for package in PACKAGES:
        for source in sorted(package.rglob("*.py")):
            name, is_package = _module_name(source.relative_to(package.parent))
            code = compile(
                source.read_text(),
                str(source.relative_to(ROOT)),
                "exec",
                optimize=OPTIMIZE,
                dont_inherit=True,
            )
            modules[name] = (is_package, code)
    (app / PROGRAM).write_bytes(marshal.dumps(modules))
    py_compile.compile(
        str(ENTRY),
        cfile=str(app / f"{ENTRY.stem}.pyc"),
        doraise=True,
        optimize=OPTIMIZE,
    )


def _module_name(path):
    """Return the dotted name of a source file, and whether it is a package."""
    parts = path.with_suffix("").parts
    is_package = parts[-1] == "__init__"
    return ".".join(parts[:-1] if is_package else parts), is_package


if __name__ == "__main__":
    compile_program()
