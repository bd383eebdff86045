"""Plays the users' bench on both first sites, where the bench is there.

Usage: check.py KIT [DAYS]
"""

import subprocess
import sys
from pathlib import Path

SITES = ("sites/gpica-flow.toml", "sites/bluemahoe-kgn.toml")
DEFAULT_DAYS = "40"


def main(kit, days=DEFAULT_DAYS):
    """Score and hunt each site; returns the exit status."""
    bench = Path(kit) / "bin" / "fleetbench"
    if not bench.exists():
        print(f"no bench at {bench}: nothing was played")
        return 0
    status = 0
    for site in SITES:
        path = str(Path(kit) / site)
        for arguments in (["score", path], ["hunt", path, "--days", days]):
            status |= subprocess.run([str(bench), *arguments]).returncode
    return status


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
