"""Hooks of every scenario."""

from contextlib import ExitStack


def before_scenario(context, scenario):
    """Create the stack of clean-ups for the end of the scenario."""
    context.undo = ExitStack()


def after_scenario(context, scenario):
    """Revert mutations of the core."""
    context.undo.close()
