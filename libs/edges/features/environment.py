"""Set-up and clean-up that every scenario shares."""

from fixtures import Recorder


def before_scenario(context, scenario):
    """Give each scenario a recorder of events and counts."""
    context.recorder = Recorder()


def after_scenario(context, scenario):
    """Stop each task and close each edge that the scenario opened."""
    context.recorder.close()
