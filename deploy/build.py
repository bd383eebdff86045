"""Builds what runs on an instance into ``target/``.

The program is compiled here, since the instances that run it can't keep byte
code and would compile every module at each start.
"""

import compileall
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
PACKAGES = (
    ROOT / "libs/lean/src/lagoontally_lean",
    ROOT / "libs/flows/src/lagoontally_flows",
    ROOT / "libs/forwarder/src/lagoontally_forwarder",
    ROOT / "platform/lagoontally_platform",
)
ENTRY = ROOT / "deploy/balancer.py"


def compile_program():
    """Copy the program's packages and leave byte code beside each module."""
    app = TARGET / "app"
    shutil.rmtree(app, ignore_errors=True)
    app.mkdir(parents=True)
    for package in PACKAGES:
        shutil.copytree(
            package, app / package.name, ignore=shutil.ignore_patterns("__pycache__")
        )
    shutil.copy(ENTRY, app)
    if not compileall.compile_dir(app, quiet=1, legacy=True, optimize=2, force=True):
        sys.exit("the program doesn't compile")
    for source in app.rglob("*.py"):
        source.unlink()


if __name__ == "__main__":
    compile_program()
