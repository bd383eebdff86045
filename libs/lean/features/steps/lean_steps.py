"""Steps for records and JSON."""

import json
import pickle
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

import lagoontally_lean
from lagoontally_lean import Record, dumps, loads

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.text()
    | st.floats(allow_nan=False).filter(lambda number: abs(number) != float("inf")),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)


class Point(Record, fields="x y"):
    """A record for the tests."""

    __slots__ = ()


def attempt(context, function, *args):
    """Call a function and store its result or error."""
    context.error = None
    try:
        context.result = function(*args)
    except Exception as error:
        context.error = error


@given("a record of x and y with 1 and 2")
def step_record(context):
    context.point = Point(1, y=2)


@then("it equals the tuple of 1 and 2 and its repr shows the names")
def step_equals(context):
    assert context.point == (1, 2) == Point(x=1, y=2)
    assert (context.point.x, context.point.y) == (1, 2)
    assert repr(context.point) == "Point(x=1, y=2)"
    assert context.point._asdict() == {"x": 1, "y": 2}


@then("a copy with another y keeps its x")
def step_replace(context):
    assert context.point._replace(y=5) == Point(1, 5)
    assert context.point == Point(1, 2)


@then("it survives pickling")
def step_pickle(context):
    copy = pickle.loads(pickle.dumps(context.point))
    assert copy == context.point and type(copy) is Point


@when("a record of x and y is created from {items}")
def step_create(context, items):
    """Use the items as call arguments."""
    attempt(context, eval, f"Point({items})", {"Point": Point})


@when("a set is encoded")
def step_set(context):
    attempt(context, dumps, {1, 2})


@when("the text {text} is decoded")
def step_decode(context, text):
    texts = {
        "nothing": "",
        "bytes ff fe": b"\xff\xfe",
        "100000 brackets": "[" * 100_000,
    }
    attempt(context, loads, texts.get(text, text))


@then("it fails with a {name}")
def step_failed(context, name):
    error = context.error
    assert error is not None, context.result
    assert any(one.__name__ == name for one in type(error).__mro__), repr(error)


@when("hypothesis generates {count:d} values")
@when("hypothesis generates {count:d} byte strings")
def step_count(context, count):
    """Set the number of examples."""
    context.run = settings(max_examples=count, deadline=None, derandomize=True)


@then("the standard library decodes each as encoded here")
def step_encoded(context):
    context.run(for_all(VALUES)(check_encoded))()


def check_encoded(value):
    """Check one value."""
    assert json.loads(dumps(value)) == value


@then("each is decoded as the standard library encodes it")
def step_decoded(context):
    context.run(for_all(VALUES)(check_decoded))()


def check_decoded(value):
    """Check one value in two of the standard library's formats."""
    assert loads(json.dumps(value)) == value
    assert loads(json.dumps(value, indent=1, ensure_ascii=False).encode()) == value


@then("each is decoded or fails with a ValueError")
def step_fuzz(context):
    context.run(for_all(st.binary() | st.text(alphabet='[]{}",:0e-.\\ '))(check_fuzz))()


def check_fuzz(text):
    """Check one text."""
    try:
        value = loads(text)
    except ValueError:
        return
    assert json.loads(text) == value


PROGRAM_WITHOUT_JSON = """
import sys
sys.path.insert(0, sys.argv[1])
from lagoontally_lean import loads
assert "json" not in sys.modules
bad = (b"{", b"[1,", b'{"a" 1}', b'{"a":', b'"abc', b"[1 2]", b"{1:2}", b"", b"\\xff")
for text in bad:
    try:
        loads(text)
    except ValueError:
        continue
    print(text)
"""


@when("invalid documents are decoded in a process that hasn't imported json")
def step_without_json(context):
    """Decode where the C scanner can't find the error class of ``json``."""
    source = Path(lagoontally_lean.__file__).parent.parent
    command = [sys.executable, "-I", "-S", "-c", PROGRAM_WITHOUT_JSON, str(source)]
    context.done = subprocess.run(command, capture_output=True, text=True)


@then("each fails with a ValueError there")
def step_failed_without_json(context):
    """The program prints documents that were accepted and fails on other errors."""
    done = context.done
    assert (done.returncode, done.stdout) == (0, ""), done.stderr + done.stdout
