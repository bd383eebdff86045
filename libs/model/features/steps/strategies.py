"""Random documents for property tests."""

import copy
import re

from documents import example_settings, two_workspaces
from hypothesis import settings
from hypothesis import strategies as st

# Generates the same examples in each run and stores no files.
DETERMINISTIC = settings(
    derandomize=True, database=None, max_examples=150, deadline=None
)
NAMES = st.from_regex(re.compile(r"[a-z0-9-]{1,63}", re.ASCII), fullmatch=True)
VALUES = st.sampled_from(
    [None, True, 0, 1, -1, 1.0, 0.5, 2**32, 1e300, "", "a", "flow", "a\n", [], {}, [{}]]
)


def containers(value):
    """Return every object and list of a document."""
    if not isinstance(value, dict | list):
        return []
    items = value.values() if isinstance(value, dict) else value
    return [value] + [found for item in items for found in containers(item)]


@st.composite
def mutated(draw, document):
    """Draw a document with up to three random changes."""
    value = copy.deepcopy(document)
    for _ in range(draw(st.integers(0, 3))):
        place = draw(st.sampled_from(containers(value)))
        new = copy.deepcopy(draw(VALUES))
        if isinstance(place, list):
            place.append(new)
            continue
        name = draw(st.sampled_from([*place, "other"]))
        if draw(st.booleans()):
            place[name] = new
        else:
            place.pop(name, None)
    return value


TEMPLATES = st.deferred(lambda: mutated(two_workspaces()))
SETTINGS = st.deferred(lambda: mutated(example_settings()))


@st.composite
def sectioned_templates(draw):
    """Draw a document that can be split: any fields, valid names."""
    fields = st.dictionaries(st.text(max_size=5), VALUES, max_size=3)
    services = st.dictionaries(NAMES, fields, max_size=4)
    workspace = st.fixed_dictionaries({"tenant": NAMES, "services": services})
    head = draw(fields)
    return head | {"workspaces": draw(st.dictionaries(NAMES, workspace, max_size=3))}
