"""The examples of the repository, which a deployment is made from."""

import json
from pathlib import Path
from typing import Any

from lagoontally_model import Findings, render_template

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
TEMPLATE_FILE = "two-tenants.template.json"
# Second octet of the addresses in the examples.
EXAMPLE_BLOCK = 20


class FaultyExampleError(Exception):
    """An example can't be used."""


def example_template(*, version: int, published_at: str) -> dict[str, Any]:
    """Return the example template, filled in with its defaults.

    Args:
        version: Version of the document.
        published_at: Its time of publication.

    Returns:
        The document.

    Raises:
        FaultyExampleError: The example can't be filled in.
    """
    source = (EXAMPLES / TEMPLATE_FILE).read_bytes()
    values = {"version": version, "published_at": published_at}
    rendered = render_template(source, values)
    if isinstance(rendered, Findings):
        raise FaultyExampleError(f"{TEMPLATE_FILE}: {rendered.reason}")
    return json.loads(rendered)


def example_settings(tenant: str) -> dict[str, Any]:
    """Return the example settings of a tenant's balancer.

    Raises:
        FaultyExampleError: There are none for this tenant.
    """
    for file in sorted(EXAMPLES.glob("*.settings.json")):
        settings = json.loads(file.read_text())
        if settings["tenant"] == tenant:
            return settings
    raise FaultyExampleError(f"no settings of {tenant} in {EXAMPLES}")
