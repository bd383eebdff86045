"""Runs the users' benchmark on two sites, if the kit contains it.

Usage: check.py KIT [DAYS]
"""

import subprocess
import sys
from pathlib import Path

SITES = ("sites/gpica-flow.toml", "sites/bluemahoe-kgn.toml")
DEFAULT_DAYS = "40"


def main(kit, days=DEFAULT_DAYS):
    """Run the benchmark's score and hunt commands and return the exit status."""
    bench = Path(kit) / "bin" / "fleetbench"
    if not bench.exists():
        print(f"{bench} not found: no benchmark was run")
        return 0
    status = 0
    for site in SITES:
        path = str(Path(kit) / site)
        for arguments in (["score", path], ["hunt", path, "--days", days]):
            status |= subprocess.run([str(bench), *arguments]).returncode
    return status


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
