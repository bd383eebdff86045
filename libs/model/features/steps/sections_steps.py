"""Steps for the sections of a template."""

from behave import then, when
from documents import encode, targets
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st
from strategies import DETERMINISTIC, sectioned_templates

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
    """Collect the digests before and after."""
    context.digests = []

    @DETERMINISTIC
    @hypothesis_given(sectioned_templates())
    def round_trip(document):
        data = encode(document)
        joined = join_sections(split_sections(data))
        context.digests.append((document_digest(data), digest(joined)))

    round_trip()


@when('one target of "{name}" changes its slots')
def step_change_slots(context, name):
    """Compare the sections before and after by digest."""
    before = split_sections(encode(context.template))
    targets(context.template, name)[0]["slots"] = 9
    after = split_sections(encode(context.template))
    assert list(before) == list(after)
    context.differing = [
        key for key in after if digest(after[key]) != digest(before[key])
    ]


@when("its sections are joined with one missing, one truncated and one unlisted")
def step_broken_sections(context):
    """Join sections with three kinds of faults."""
    sections = split_sections(encode(context.template))
    del sections["alpha/back"]
    sections["alpha/front"] = sections["alpha/front"][:-1]
    sections["other/front"] = b"{}"
    context.result = join_sections(sections)


@when("sections of random bytes are joined")
def step_random_sections(context):
    """Join sections as a faulty peer could send them."""
    context.results = []

    @DETERMINISTIC
    @hypothesis_given(SECTIONS)
    def join(sections):
        context.results.append(join_sections(sections))

    join()


@then("each keeps its digest")
def step_same_digests(context):
    """Check that the canonical form is unchanged."""
    assert context.digests
    assert all(before == after for before, after in context.digests)


@then('only the section "{name}" differs')
def step_one_differs(context, name):
    """Check that the other sections keep their digests."""
    assert context.differing == [name]


@then("each result is a document or findings")
def step_results(context):
    """Check that both kinds of result occur, and no others."""
    assert {type(result) for result in context.results} == {bytes, Findings}
