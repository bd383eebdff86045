"""Steps for the platform's readers and watches."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import requests
from behave import fixture, given, then, use_fixture, when

from lagoontally_standins import Platform, serve_platform

WAIT_S = 30.0
POLL_S = 0.005


@fixture
def served(context):
    """Serve a platform at a port of the system's choice."""
    context.platform = Platform()
    server = serve_platform("127.0.0.1:0", context.platform)
    context.url = server.url
    context.pool = ThreadPoolExecutor(2)
    yield
    context.platform.control({"mode": "down"})
    context.pool.shutdown()
    server.stop()


def publish(context, version):
    """Publish a document that is a version alone."""
    context.platform.publish_template(json.dumps({"version": version}).encode())


def read(context, path):
    """Read a path of the served platform."""
    return requests.get(context.url + path, timeout=WAIT_S)


def total_calls(context):
    """Return the number of calls that the platform counted."""
    return read(context, "/control/calls").json()["total"]


@given("a served platform without a template")
def step_empty(context):
    """A platform serves before anything is published."""
    use_fixture(served, context)


@given("a served platform with template version {version:d}")
def step_served(context, version):
    """A platform serves a template."""
    use_fixture(served, context)
    publish(context, version)


@given("a platform on a virtual clock with template version {version:d}")
def step_virtual(context, version):
    """A platform's time is the scenario's."""
    context.now_s = 0.0
    context.platform = Platform(clock=lambda: context.now_s)
    publish(context, version)


@when("a reader watches for a version after {version:d}")
def step_watch(context, version):
    """A watch is under way once the platform has counted it."""
    path = f"/v1/template?after={version}&wait={10 * WAIT_S}"
    context.watch = context.pool.submit(read, context, path)
    deadline_s = time.monotonic() + WAIT_S
    while total_calls(context) == 0:
        assert time.monotonic() < deadline_s, "the watch wasn't counted"
        time.sleep(POLL_S)


@when("a reader watches for {wait_s:d} seconds for a version after {version:d}")
def step_short_watch(context, wait_s, version):
    """A watch waits no longer than it was asked to."""
    path = f"/v1/template?after={version}&wait={wait_s}"
    context.watch = context.pool.submit(read, context, path)


@when("template version {version:d} is published")
def step_publish(context, version):
    """An operator publishes a version."""
    publish(context, version)


@when('the bytes "{text}" are published as the template')
def step_publish_bytes(context, text):
    """An operator publishes anything."""
    url = context.url + "/publish/template"
    requests.put(url, data=text.encode(), timeout=WAIT_S).raise_for_status()


@when("the platform's control sets {change}")
def step_control_platform(context, change):
    """A mode, a lag or the late readers change."""
    context.platform.control(json.loads(change))


@when("the template is read {number:d} times")
def step_reads(context, number):
    """A reader reads the template again and again."""
    for _ in range(number):
        read(context, "/v1/template")


@when("{duration_s:d} s pass on the platform")
def step_time(context, duration_s):
    """The virtual clock moves on."""
    context.now_s += duration_s


@when('the instances "{names}" are published')
def step_instances(context, names):
    """The list of instances changes."""
    instances = [{"name": name} for name in names.split()]
    context.platform.publish_instances("relay", instances)


@then("the watch is answered with version {version:d}")
def step_watch_version(context, version):
    """The watch returns the document."""
    assert context.watch.result(WAIT_S).json() == {"version": version}


@then("the watch is answered with status {status:d}")
def step_watch_status(context, status):
    """The watch returns no document."""
    assert context.watch.result(WAIT_S).status_code == status


@then('a read of "{path}" has status {status:d}')
def step_read_status(context, path, status):
    """A read returns nothing."""
    assert read(context, path).status_code == status


@then('a read of the template returns the bytes "{text}"')
def step_read_bytes(context, text):
    """The platform doesn't look into a document."""
    assert read(context, "/v1/template").content == text.encode()


@then("{number:d} calls are counted")
def step_calls(context, number):
    """Every call of a reader is counted."""
    assert total_calls(context) == number


@then("operators' calls are not counted")
def step_operators(context):
    """Asking for the count leaves it as it is."""
    assert total_calls(context) == total_calls(context)


@then('reader "{reader}" sees version {version:d}')
def step_sees(context, reader, version):
    """A read from this address returns this version."""
    reply = context.platform.read_template(reader)
    assert json.loads(reply.body) == {"version": version}


@then('the list shows "{names}"')
def step_list(context, names):
    """The list holds these instances."""
    reply = context.platform.read_instances("127.0.0.1", "relay")
    instances = json.loads(reply.body)["instances"]
    assert [instance["name"] for instance in instances] == names.split()
