"""What every scenario shares."""

from contextlib import ExitStack


def before_scenario(context, scenario):
    """Collect what is to be undone after the scenario."""
    context.undo = ExitStack()


def after_scenario(context, scenario):
    """Undo mutations of the core."""
    context.undo.close()
