"""Steps for the sections of a template."""

from behave import then, when
from documents import encode, targets
from hypothesis import given as drawn
from hypothesis import strategies as st
from strategies import DETERMINISTIC, sectioned

from lagoontally_model import (
    Findings,
    digest,
    document_digest,
    join_sections,
    split_sections,
)

SECTION_DATA = st.one_of(
    st.binary(max_size=20),
    st.sampled_from(
        [
            b'{"workspaces":{"a":{"services":["b"]}}}',
            b'{"workspaces":{"a":{"services":[1]}}}',
            b'{"workspaces":[]}',
            b"{}",
            b"[" * 5000,
        ]
    ),
)
SECTIONS = st.fixed_dictionaries(
    {"head": SECTION_DATA},
    optional={"a/b": SECTION_DATA, "a/c": SECTION_DATA, "/": SECTION_DATA},
)


@when("random templates are split and joined")
def step_split_join(context):
    """Digests before and after are collected."""
    context.digests = []

    @DETERMINISTIC
    @drawn(sectioned())
    def round_trip(document):
        data = encode(document)
        joined = join_sections(split_sections(data))
        context.digests.append((document_digest(data), digest(joined)))

    round_trip()


@when('one target of "{name}" changes its slots')
def step_change_slots(context, name):
    """The sections before and after are compared by digest."""
    before = split_sections(encode(context.template))
    targets(context.template, name)[0]["slots"] = 9
    after = split_sections(encode(context.template))
    assert list(before) == list(after)
    context.differing = [
        key for key in after if digest(after[key]) != digest(before[key])
    ]


@when("its sections come back with one missing, one cut and one too many")
def step_broken_sections(context):
    """Three sections are broken in three ways."""
    sections = split_sections(encode(context.template))
    del sections["alpha/back"]
    sections["alpha/front"] = sections["alpha/front"][:-1]
    sections["other/front"] = b"{}"
    context.result = join_sections(sections)


@when("sections of random bytes are joined")
def step_random_sections(context):
    """Whatever a peer sends is joined."""
    context.results = []

    @DETERMINISTIC
    @drawn(SECTIONS)
    def join(sections):
        context.results.append(join_sections(sections))

    join()


@then("each has the digest that it had before")
def step_same_digests(context):
    """The canonical form is the same."""
    assert context.digests
    assert all(before == after for before, after in context.digests)


@then('only the section "{name}" differs')
def step_one_differs(context, name):
    """The other sections keep their digests."""
    assert context.differing == [name]


@then("each result is a document or findings")
def step_results(context):
    """Both kinds of result occur, and nothing else."""
    assert {type(result) for result in context.results} == {bytes, Findings}
