"""Gives each scenario its own folder and stops its servers."""

import tempfile
from contextlib import ExitStack
from pathlib import Path

from behave import fixture, use_fixture

from lagoontally_standins import IRRIGATION, Deployment, Options

DEPLOYMENT_TAG = "deployment"


@fixture
def irrigation_deployment(context):
    """Run the irrigation association's fleet during a feature."""
    with tempfile.TemporaryDirectory() as scratch:
        options = Options(directory=Path(scratch), tenants=(IRRIGATION,))
        with Deployment(options) as context.deployment:
            yield


def before_feature(context, feature):
    """Start a deployment for features with the tag."""
    if DEPLOYMENT_TAG in feature.tags:
        use_fixture(irrigation_deployment, context)


def before_scenario(context, scenario):
    """Create the scenario's folder."""
    context.started = ExitStack()
    folder = context.started.enter_context(tempfile.TemporaryDirectory())
    context.folder = Path(folder)
    context.names = {}


def after_scenario(context, scenario):
    """Stop the servers and remove the folder."""
    context.started.close()
