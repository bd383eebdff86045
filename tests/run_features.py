"""Runs the behave scenarios of every library and adds up their results.

The last line printed is ``N passed, N failed``. A failing scenario that
``KNOWN-RED.txt`` lists is printed and left out of both counts.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "
PARALLEL_SUITES = 4


class SuiteResult(NamedTuple):
    """Result of one library's scenarios, each named ``library: scenario``."""

    suite: str
    passed: list[str]
    failed: list[str]
    output: str
    crashed: bool


def known_red():
    """Return the names of the scenarios listed as known to fail."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def feature_folders(names):
    """Return each library's features folder, or only those of ``names``."""
    folders = sorted(ROOT.glob("libs/*/features")) + [ROOT / "tests" / "features"]
    return [
        folder
        for folder in folders
        if any(folder.glob("**/*.feature"))
        and (not names or folder.parent.name in names)
    ]


def run_suite(folder):
    """Run one features folder in a behave process of its own.

    Args:
        folder: The folder that holds the feature files.

    Returns:
        The ``SuiteResult`` of the folder.
    """
    suite = folder.parent.name
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--format", "json"]
        command += ["--outfile", str(report), "--format", "progress3", str(folder)]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
        features = read_report(report)
    passed, failed = [], []
    for feature in features:
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            results = passed if element.get("status") == "passed" else failed
            # Names of unnamed examples end in a space.
            results.append(f"{suite}: {element['name']}".strip())
    crashed = done.returncode != 0 and not failed
    return SuiteResult(suite, passed, failed, done.stdout + done.stderr, crashed)


def read_report(report):
    """Return behave's JSON report, empty when behave wrote none."""
    try:
        return json.loads(report.read_text())
    except (OSError, ValueError):
        return []


def print_result(result, listed):
    """Print one suite's line, and its output where something failed."""
    print(f"{result.suite}: {len(result.passed)} passed, {len(result.failed)} failed")
    if result.failed or result.crashed:
        print(result.output)
    for name in result.failed:
        label = "known red" if name in listed else "FAILED"
        print(f"{label}: {name}")


def main():
    """Run the suites named on the command line, or all of them."""
    listed = known_red()
    folders = feature_folders(set(sys.argv[1:]))
    with ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        results = list(pool.map(run_suite, folders))
    for result in results:
        print_result(result, listed)
    passed = sum(len(result.passed) for result in results)
    failed = sum(
        sum(name not in listed for name in result.failed) + result.crashed
        for result in results
    )
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
