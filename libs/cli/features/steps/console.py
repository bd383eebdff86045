"""Reads the console blocks of the docs and runs their commands."""

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
CONTINUED = "> "
STATUS = re.compile(r"\[exit status (\d+)\]")
COMMAND_TIMEOUT_S = 90
# The addresses of the docs and the examples are in this block.
DOCS_BLOCK = "127.20."
SHIMS = {
    "lagoontally": "exec {python} -m lagoontally",
    "python": "exec {python}",
    # A page's make targets are looked up; they run on their own in CI.
    "make": "exec /usr/bin/env -i PATH=/usr/bin:/bin make -n -C {root}",
}


class Command(NamedTuple):
    """One command of a page.

    Attributes:
        place: Page and line.
        text: The command.
        shown: Lines of output that the page shows.
        status: The exit status that the page shows, 0 by default.
    """

    place: str
    text: str
    shown: tuple[str, ...]
    status: int


class Block(NamedTuple):
    """A fenced block: its language, its first line's number and its lines."""

    language: str
    start: int
    lines: list[str]


def blocks_of(text):
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


def commands_of(page):
    """Return the commands of a page, in order."""
    commands = []
    for block in blocks_of((ROOT / page).read_text()):
        if block.language != CONSOLE:
            continue
        for offset, line in enumerate(block.lines):
            take_line(commands, line, f"{page}:{block.start + offset}")
    return commands


def take_line(commands, line, place):
    """Add a line of a console block to the commands read so far."""
    if line.startswith(PROMPT):
        commands.append(Command(place, line.removeprefix(PROMPT), (), 0))
        return
    last = commands[-1]
    if line.startswith(CONTINUED):
        last = last._replace(text=f"{last.text}\n{line.removeprefix(CONTINUED)}")
    elif found := STATUS.fullmatch(line):
        last = last._replace(status=int(found[1]))
    elif line not in ("", "..."):
        last = last._replace(shown=(*last.shown, line))
    commands[-1] = last


def shows(output, lines):
    """Tell whether lines stand in an output in this order.

    ``...`` stands for any text within a line, blanks for any blanks.
    """
    actual = iter(output.splitlines())
    return all(any(fits(line, shown) for line in actual) for shown in lines)


def fits(line, shown):
    """Tell whether a line of output is the one that a page shows."""
    words = (re.escape(word).replace(r"\.\.\.", ".*") for word in shown.split())
    return re.fullmatch(r"\s+".join(words), line.strip()) is not None


class Shell:
    """Runs commands in a folder that looks like the repository's root.

    Args:
        folder: An empty folder.
        deployment: The deployment that takes the place of ``make up``.
    """

    def __init__(self, folder, deployment):
        self.folder = folder
        self.block = f"127.{deployment.addresses.block}."
        self.groups = []
        (folder / ".out").mkdir()
        (folder / ".out" / "latest").symlink_to(deployment.directory.resolve())
        self.copy_examples()
        self.make_shims()

    def copy_examples(self):
        """Copy the examples, with the deployment's addresses."""
        (self.folder / "examples").mkdir()
        for file in (ROOT / "examples").iterdir():
            if file.is_file():
                text = file.read_text().replace(DOCS_BLOCK, self.block)
                (self.folder / "examples" / file.name).write_text(text)

    def make_shims(self):
        """Make the programs that the docs name."""
        python = shlex.quote(sys.executable)
        (self.folder / "bin").mkdir()
        for name, line in SHIMS.items():
            file = self.folder / "bin" / name
            text = line.format(python=python, root=shlex.quote(str(ROOT)))
            file.write_text(f'#!/bin/sh\n{text} "$@"\n')
            file.chmod(0o755)

    def run(self, command):
        """Run a command; return its exit status and its output as the docs show it."""
        paths = f"{self.folder / 'bin'}{os.pathsep}{os.environ['PATH']}"
        process = subprocess.Popen(
            ["bash", "-c", command.text.replace(DOCS_BLOCK, self.block)],
            cwd=self.folder,
            env=os.environ | {"PATH": paths},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        if command.text.endswith("&"):
            self.groups.append(process.pid)
        output, _ = process.communicate(timeout=COMMAND_TIMEOUT_S)
        return process.returncode, output.replace(self.block, DOCS_BLOCK)

    def close(self):
        """End what commands have left running in the background."""
        for group in self.groups:
            try:
                os.killpg(group, signal.SIGTERM)
            except ProcessLookupError:
                continue
