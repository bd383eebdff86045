"""Fixtures of tagged features."""

from behave import use_fixture
from fixtures import small_deployment


def before_tag(context, tag):
    """Start a deployment for the feature."""
    if tag == "fixture.deployment":
        use_fixture(small_deployment, context)
