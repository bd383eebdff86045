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
    """Two numbers."""

    __slots__ = ()


def attempt(context, function, *args):
    """Call a function and keep its error."""
    context.error = None
    try:
        context.result = function(*args)
    except Exception as error:
        context.error = error


@given("a record of x and y with 1 and 2")
def step_record(context):
    """By position and by name."""
    context.point = Point(1, y=2)


@then("it equals the tuple of 1 and 2 and shows its names")
def step_equals(context):
    """It can be unpacked and printed."""
    assert context.point == (1, 2) == Point(x=1, y=2)
    assert (context.point.x, context.point.y) == (1, 2)
    assert repr(context.point) == "Point(x=1, y=2)"
    assert context.point._asdict() == {"x": 1, "y": 2}


@then("a copy with another y keeps its x")
def step_replace(context):
    """The record itself doesn't change."""
    assert context.point._replace(y=5) == Point(1, 5)
    assert context.point == Point(1, 2)


@then("it survives pickling")
def step_pickle(context):
    """Processes may exchange it."""
    copy = pickle.loads(pickle.dumps(context.point))
    assert copy == context.point and type(copy) is Point


@when("a record of x and y is made from {items}")
def step_make(context, items):
    """Items as in a call."""
    attempt(context, eval, f"Point({items})", {"Point": Point})


@when("a set is written")
def step_set(context):
    """JSON has no sets."""
    attempt(context, dumps, {1, 2})


@when("the text {text} is read")
def step_read(context, text):
    """Bytes that stand for no value."""
    texts = {
        "nothing": "",
        "bytes ff fe": b"\xff\xfe",
        "100000 brackets": "[" * 100_000,
    }
    attempt(context, loads, texts.get(text, text))


@then("it is refused by a {name}")
def step_refused(context, name):
    """The error says what is wrong."""
    error = context.error
    assert error is not None, context.result
    assert any(one.__name__ == name for one in type(error).__mro__), repr(error)


@when("hypothesis makes {count:d} values")
@when("hypothesis makes {count:d} byte strings")
def step_count(context, count):
    """How many cases are tried."""
    context.run = settings(max_examples=count, deadline=None, derandomize=True)


@then("each is written as the standard library reads it")
def step_written(context):
    """The standard library reads the same value."""
    context.run(for_all(VALUES)(check_written))()


def check_written(value):
    """One value."""
    assert json.loads(dumps(value)) == value


@then("each is read as the standard library writes it")
def step_read_back(context):
    """In both of its forms."""
    context.run(for_all(VALUES)(check_read))()


def check_read(value):
    """One value."""
    assert loads(json.dumps(value)) == value
    assert loads(json.dumps(value, indent=1, ensure_ascii=False).encode()) == value


@then("each is read or refused by a ValueError")
def step_fuzz(context):
    """Nothing else is raised."""
    context.run(for_all(st.binary() | st.text(alphabet='[]{}",:0e-.\\ '))(check_fuzz))()


def check_fuzz(text):
    """One text."""
    try:
        value = loads(text)
    except ValueError:
        return
    assert json.loads(text) == value


BARE_PROGRAM = """
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


@when("bad texts are read in a process with nothing but these modules")
def step_bare(context):
    """The C functions look for the error class of json, which isn't there."""
    source = Path(lagoontally_lean.__file__).parent.parent
    command = [sys.executable, "-I", "-S", "-c", BARE_PROGRAM, str(source)]
    context.done = subprocess.run(command, capture_output=True, text=True)


@then("each is refused by a ValueError there")
def step_bare_refused(context):
    """Nothing else is raised, and nothing is accepted."""
    done = context.done
    assert (done.returncode, done.stdout) == (0, ""), done.stderr + done.stdout
