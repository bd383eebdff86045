"""Gives each scenario a folder of its own and ends what it started."""

import tempfile
from contextlib import ExitStack
from pathlib import Path


def before_scenario(context, scenario):
    """Make the scenario's folder."""
    context.started = ExitStack()
    folder = context.started.enter_context(tempfile.TemporaryDirectory())
    context.folder = Path(folder)
    context.names = {}


def after_scenario(context, scenario):
    """End servers and remove the folder."""
    context.started.close()
