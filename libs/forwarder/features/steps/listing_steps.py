"""Steps for listings of which a page is late."""

from any_input_steps import tick
from behave import then, when
from fixtures import ENTRY, item, page

from lagoontally_flows import ListTargets
from lagoontally_forwarder._clock import now_ms
from lagoontally_forwarder._http_client import HttpFailure, HttpResponse
from lagoontally_platform import ENTRY_PREFIX, page_path

FIRST, SECOND = "servers/i-1", "servers/i-2"
LATE = HttpFailure("timeout")
FIRST_PAGE = page([item(FIRST, ENTRY)], revision=30, more=True)
LAST_PAGE = page(
    [item(SECOND, ENTRY | {"address": "10.128.0.10:8080"})], revision=31, more=False
)


def list_targets(context):
    """Let the reader list the targets and return the path of its first call."""
    reader, asked = context.process.store_reader, []
    reader.store.cancel()
    reader._peer_client = None
    reader.store.get = lambda path, _timeout_ms, _on_done: asked.append(path)
    reader.store_sync.next_call = lambda _now_ms: ListTargets(False)
    reader.on_tick(now_ms())
    del reader.store_sync.next_call
    return asked[0]


@when("a page of a listing arrives and the next one is late")
def step_late_page(context):
    """The store or the machine is busy."""
    list_targets(context)
    reader = context.process.store_reader
    reader._on_page(HttpResponse(200, b"", FIRST_PAGE))
    reader._on_page(LATE)


@when("{duration_ms:d} ms pass until the next listing")
def step_pass(context, duration_ms):
    """The pages become too old."""
    context.process.store_reader._interrupted.started_ms -= duration_ms


@when("the targets are to be read again")
def step_read_again(context):
    """Another balancer knows a change that this one missed."""
    context.process.store_sync.call_cancelled = True


@when("the first page of a listing is late too")
def step_first_late(context):
    """Nothing has arrived."""
    context.process.store_reader._interrupted.started_ms -= 5_000
    list_targets(context)
    context.process.store_reader._on_page(LATE)


@when("the rest arrives")
def step_rest(context):
    """It is the last page."""
    context.process.store_reader._on_page(HttpResponse(200, b"", LAST_PAGE))
    tick(context)


@then("the next listing starts after the page that arrived")
def step_resumed(context):
    """The first page isn't asked for again."""
    assert list_targets(context) == page_path(ENTRY_PREFIX, FIRST)


@then("the next listing starts from its first page")
def step_from_first(context):
    """Nothing of the pages before is used."""
    assert list_targets(context) == page_path(ENTRY_PREFIX)


@then("the targets of both pages are known")
def step_known(context):
    """At the revision of the first page, as what changed since is watched."""
    process = context.process
    assert set(process.balancer.view.targets) == {FIRST, SECOND}
    store_sync = process.store_sync
    assert store_sync.history.targets.revision == 30, store_sync.history.targets
    started_ms = process.store_reader._pages.started_ms
    assert store_sync.confirmed_ms == started_ms, store_sync.confirmed_ms - started_ms
