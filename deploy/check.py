"""Runs the users' benchmark on its sites, if the kit contains it.

Usage: check.py KIT [DAYS]
"""

import subprocess
import sys
from pathlib import Path

BENCH = "more/bench-d17393/bin/fleetbench"
# Days of a hunt by site; those of more than 60 machines take minutes each.
SITES = {
    "further/caroni-lagoon.toml": "40",
    "further-grown/caroni-lagoon-grown.toml": "8",
    "grown/gpica-flow-grown.toml": "8",
    "grown/bluemahoe-kgn-grown.toml": "8",
    "large/gpica-flow-large.toml": "8",
}


def main(kit, days=None):
    """Run the benchmark's score and hunt commands and return the exit status.

    Args:
        kit: Folder of the kit.
        days: Days of each hunt, by default those of ``SITES``.
    """
    bench = Path(kit) / BENCH
    if not bench.exists():
        print(f"{bench} not found: no benchmark was run")
        return 0
    status = 0
    for site, site_days in SITES.items():
        path = str(Path(kit) / site)
        hunt = ["hunt", path, "--days", days or site_days]
        for arguments in (["score", path], hunt):
            status |= subprocess.run([str(bench), *arguments]).returncode
    return status


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
