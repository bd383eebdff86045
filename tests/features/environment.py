"""Starts what the tagged features share."""

from behave import use_fixture
from fixtures import small_deployment


def before_tag(context, tag):
    """Give a feature a small deployment of its own."""
    if tag == "fixture.deployment":
        use_fixture(small_deployment, context)
