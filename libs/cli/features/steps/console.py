"""Parses the console blocks of the docs and runs their commands."""

import os
import re
import shlex
import signal
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[4]
FENCE = "```"
CONSOLE = "console"
PROMPT = "$ "
CONTINUATION = "> "
EXIT_STATUS = re.compile(r"\[exit status (\d+)\]")
COMMAND_TIMEOUT_S = 90
# Addresses in the docs and the examples start with this.
DOCS_PREFIX = "127.20."
WRAPPERS = {
    "lagoontally": "exec {python} -m lagoontally",
    "python": "exec {python}",
    # Dry run: CI runs the make targets separately.
    "make": "exec /usr/bin/env -i PATH=/usr/bin:/bin make -n -C {root}",
}


class Command(NamedTuple):
    """One command of a page.

    Attributes:
        place: Page and line.
        text: The command.
        shown: Lines of output on the page.
        status: The exit status on the page, 0 by default.
    """

    place: str
    text: str
    shown: tuple[str, ...]
    status: int


class Block(NamedTuple):
    """A fenced block: its language, the number of its first line and its lines."""

    language: str
    start: int
    lines: list[str]


def parse_blocks(text):
    """Return the fenced blocks of a page."""
    blocks, current = [], None
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if not stripped.startswith(FENCE):
            if current is not None:
                current.lines.append(stripped)
        elif current is None:
            current = Block(stripped.removeprefix(FENCE), number + 1, [])
        else:
            blocks.append(current)
            current = None
    return blocks


def parse_commands(page):
    """Return the commands of a page, in order."""
    commands = []
    for block in parse_blocks((ROOT / page).read_text()):
        if block.language != CONSOLE:
            continue
        for offset, line in enumerate(block.lines):
            add_line(commands, line, f"{page}:{block.start + offset}")
    return commands


def add_line(commands, line, place):
    """Add a line of a console block to the commands read so far."""
    if line.startswith(PROMPT):
        commands.append(Command(place, line.removeprefix(PROMPT), (), 0))
        return
    last = commands[-1]
    if line.startswith(CONTINUATION):
        last = last._replace(text=f"{last.text}\n{line.removeprefix(CONTINUATION)}")
    elif found := EXIT_STATUS.fullmatch(line):
        last = last._replace(status=int(found[1]))
    elif line not in ("", "..."):
        last = last._replace(shown=(*last.shown, line))
    commands[-1] = last


def output_matches(output, lines):
    """Return whether an output contains lines in this order.

    ``...`` matches any text within a line, whitespace matches any whitespace.
    """
    actual = iter(output.splitlines())
    return all(any(line_matches(line, shown) for line in actual) for shown in lines)


def line_matches(line, shown):
    """Return whether a line of output matches the one that a page shows."""
    words = (re.escape(word).replace(r"\.\.\.", ".*") for word in shown.split())
    return re.fullmatch(r"\s+".join(words), line.strip()) is not None


class Shell:
    """Runs commands in a folder with the layout of the repository's root.

    Args:
        folder: An empty folder.
        deployment: The deployment used instead of the one of ``make up``.
    """

    def __init__(self, folder, deployment):
        self.folder = folder
        self.prefix = f"127.{deployment.addresses.block}."
        self.process_groups = []
        (folder / ".out").mkdir()
        (folder / ".out" / "latest").symlink_to(deployment.directory.resolve())
        self.copy_examples()
        self.create_wrappers()

    def copy_examples(self):
        """Copy the examples, adapted to the deployment's addresses."""
        (self.folder / "examples").mkdir()
        for file in (ROOT / "examples").iterdir():
            if file.is_file():
                text = file.read_text().replace(DOCS_PREFIX, self.prefix)
                (self.folder / "examples" / file.name).write_text(text)

    def create_wrappers(self):
        """Create wrappers for the programs that the docs use."""
        python = shlex.quote(sys.executable)
        (self.folder / "bin").mkdir()
        for name, line in WRAPPERS.items():
            file = self.folder / "bin" / name
            text = line.format(python=python, root=shlex.quote(str(ROOT)))
            file.write_text(f'#!/bin/sh\n{text} "$@"\n')
            file.chmod(0o755)

    def run(self, command):
        """Run a command; return its exit status and its output with docs addresses."""
        process = self.start(command.text)
        if command.text.endswith("&"):
            self.process_groups.append(process.pid)
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_S)
        return process.returncode, output.replace(self.prefix, DOCS_PREFIX)

    def lines(self, text):
        """Run a command and yield the lines of its output as they come."""
        with self.start(text) as process:
            for line in process.stdout:
                yield line.rstrip("\n")

    def start(self, text):
        """Start a command in a process group of its own."""
        paths = f"{self.folder / 'bin'}{os.pathsep}{os.environ['PATH']}"
        return subprocess.Popen(
            ["bash", "-c", text.replace(DOCS_PREFIX, self.prefix)],
            cwd=self.folder,
            env=os.environ | {"PATH": paths, "PYTHONUNBUFFERED": "1"},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )

    def close(self):
        """Terminate the background processes of commands."""
        for group in self.process_groups:
            try:
                os.killpg(group, signal.SIGTERM)
            except ProcessLookupError:
                continue
