"""Steps for flows that several targets answered, at several balancers."""

from behave import given, then, when
from fixtures import REQUEST_BYTES, World
from rehash_steps import pass_time

from lagoontally_flows import (
    CONFIRMED,
    SILENT,
    SYN,
    Drop,
    FlowHolder,
    Hold,
    HolderQuery,
    Holders,
    Packet,
    Verdict,
    unconfirmed,
)

ACKNOWLEDGED = 5_000
OTHER_FLOW = 1_700_000_000
NAMES = {"first": 0, "second": 1, "third": 2}


def exchange(context):
    """Deliver queries, their replies and holders to all other balancers."""
    sent = True
    while sent:
        sent = False
        for world in context.worlds:
            world.collect()
            others = [other for other in context.worlds if other is not world]
            for query in world.take_effects_of(HolderQuery):
                for other in others:
                    reply = other.balancer.holders.on_query(query, other.now_ms)
                    if reply is not None:
                        world.balancer.holders.on_holders(reply, world.now_ms)
            for message in world.take_effects_of(Holders):
                context.told.append(message)
                sent = True
                for other in others:
                    other.balancer.holders.on_holders(message, other.now_ms)


def send(context, which, *, cookie, ack=ACKNOWLEDGED, length=0, sequence=100):
    """Send a packet of the flow to a balancer."""
    world = context.worlds[NAMES[which]]
    context.sent = (which, {"cookie": cookie, "ack": ack, "length": length})
    context.sent[1]["sequence"] = sequence
    context.action = world.send(context.flow, **context.sent[1])
    exchange(context)


def open_flow(context, wait_ms):
    """Open a flow at the first balancer so long after its SYN."""
    context.told = []
    world = context.worlds[0]
    context.flow = world.new_flow()
    context.target = world.syn(context.flow).target
    world.wait(wait_ms)
    send(context, "first", cookie=unconfirmed(context.target.cookie))


@given("two targets answered a flow's SYN and copy at the first balancer")
def step_two_answers(context):
    """The caller acknowledges the second, whose answer came first."""
    context.told = []
    world = context.worlds[0]
    context.flow = world.new_flow()
    context.other = world.syn(context.flow).target
    world.wait(200)
    context.target = world.syn(context.flow, copy=1).target
    assert context.target != context.other
    send(context, "first", cookie=unconfirmed(context.target.cookie))


@given("a flow that no balancer knows")
def step_unknown_flow(context):
    """The balancers that knew it are gone."""
    context.told = []
    context.flow = context.worlds[0].new_flow()
    context.other = context.targets[1]


@given("the {which} balancer has started anew")
def step_restart(context, which):
    """It knows the targets and no flow."""
    number = NAMES[which]
    world = World(seed=100 + number)
    world.now_ms = context.worlds[number].now_ms
    world.list_targets(*context.targets)
    context.worlds[number] = world


@given("the {which} balancer leaves the rotation and has started anew")
def step_leave(context, which):
    """It tells what few others know."""
    world = context.worlds[NAMES[which]]
    world.balancer.holders.on_leaving(world.now_ms)
    exchange(context)
    step_restart(context, which)


@given("the first balancer was killed")
def step_kill(context):
    """Nobody hears of it."""
    step_restart(context, "first")


@given("the other target is dead")
def step_dead(context):
    """All balancers know."""
    for world in context.worlds:
        verdict = Verdict(context.other.cookie, True, SILENT, 0)
        world.balancer.on_verdict(verdict, "10.0.0.9", world.now_ms)
        world.balancer.on_probe_result(context.other.cookie, SILENT, world.now_ms)
        world.balancer.on_probe_result(context.other.cookie, SILENT, world.now_ms)
        world.collect()


@when(
    "the caller sends a request with the other target's cookie to the {which} balancer"
)
def step_request(context, which):
    """The other target's answer to the SYN arrived last."""
    cookie = unconfirmed(context.other.cookie)
    send(context, which, cookie=cookie, length=REQUEST_BYTES)


@when(
    "the caller sends a request of another flow with the other target's confirmed "
    "cookie to the {which} balancer"
)
def step_other_flow(context, which):
    """The port is used again."""
    cookie = context.other.cookie
    send(context, which, cookie=cookie, ack=OTHER_FLOW, length=REQUEST_BYTES)


@when("the caller repeats it {wait_ms:d} ms later")
def step_repeat(context, wait_ms):
    """Nothing was answered."""
    pass_time(context, wait_ms)
    step_take_up(context)


@when("the request is taken up again")
def step_take_up(context):
    """It was held, or sent again."""
    which, fields = context.sent
    context.action = context.worlds[NAMES[which]].send(context.flow, **fields)
    exchange(context)


@when("its caller acknowledges an answer at the first balancer")
def step_answered(context):
    """It sent a request before."""
    cookie = unconfirmed(context.target.cookie)
    send(context, "first", cookie=cookie, length=REQUEST_BYTES)
    pass_time(context, 50)
    after = 100 + REQUEST_BYTES
    send(context, "first", cookie=cookie, ack=ACKNOWLEDGED + 300, sequence=after)


@when("a copy of the flow's SYN arrives at the second balancer")
def step_late_copy(context):
    """The router sent it there before the flow opened."""
    world = context.worlds[1]
    packet = Packet(context.flow, SYN, 0, 99, 1, 0)
    context.action = world.balancer.on_packet(packet, world.now_ms)


@when("{count:d} holders of flows are told to the first balancer")
def step_told_many(context, count):
    """They are of many flows."""
    world = context.worlds[0]
    flow = world.new_flow()
    holders = [
        FlowHolder((number, *flow[1:]), 1, 7, CONFIRMED, 0, 0)
        for number in range(count)
    ]
    world.balancer.holders.on_holders(Holders(holders), world.now_ms)


@given("a flow that opened within {wait_ms:d} ms at the first balancer")
def step_opened_within(context, wait_ms):
    """Its caller sends a copy of the SYN after 200 ms."""
    open_flow(context, wait_ms)


@given("the first balancer has {members:d} members and a link of {mbps:d} Mbit/s")
def step_link(context, members, mbps):
    """Its links and those of its members are much alike."""
    holders = context.worlds[0].balancer.holders
    holders.members = members
    holders.set_link(mbps)


@when("packets of {count:d} unknown flows arrive there within 1 s")
def step_many_unknown(context, count):
    """Routers have just rehashed them."""
    world, cookie = context.worlds[0], unconfirmed(context.targets[1].cookie)
    context.many = []
    for number in range(count):
        if number % (count // 10) == 0:
            world.wait(100)
        action = world.send(world.new_flow(), cookie=cookie, ack=ACKNOWLEDGED)
        context.many.append(action)


@then("it asks for {count:d} of them")
def step_asks(context, count):
    """One query may hold several flows."""
    queries = context.worlds[0].take_effects_of(HolderQuery)
    asked = sum(len(query.holders) for query in queries)
    assert asked == count, asked


@then("the others go by their cookies at once")
def step_by_cookie(context):
    """Nobody is asked, so there is nothing to wait for."""
    asked = len(context.worlds[0].balancer.holders.asked)
    held = sum(isinstance(action, Hold) for action in context.many)
    targets = [one.target for one in context.many if not isinstance(one, Hold)]
    assert held <= asked, (held, asked)
    assert targets == [context.targets[1]] * (len(context.many) - held)


@then('it goes to the flow\'s target as "{reason}"')
def step_own_target(context, reason):
    """Whatever the cookie says."""
    assert context.action.target == context.target, context.action
    assert context.action.reason == reason, context.action


@then('it goes to the other target as "{reason}"')
def step_other_target(context, reason):
    """Nothing speaks against the cookie."""
    assert context.action.target == context.other, context.action
    assert context.action.reason == reason, context.action


@then("it waits for the members")
def step_waits(context):
    """It isn't sent to a target that may be the wrong one."""
    assert isinstance(context.action, Hold), context.action


@then("its packets carry the {form} cookie")
def step_form(context, form):
    """Only the confirmed form is proof to a balancer that doesn't know the flow."""
    assert context.action.target == context.target, context.action
    assert context.action.confirmed == (form == "confirmed"), context.action


@then("no other balancer was told of it")
def step_not_told(context):
    """There is no doubt."""
    assert not context.told, context.told


@then('it is dropped there as "{reason}"')
def step_dropped(context, reason):
    """No other target gets the SYN."""
    assert context.action == Drop(reason), context.action


@then("it keeps {count:d} of them")
def step_kept(context, count):
    """The newest ones, for as long as flows live."""
    told = context.worlds[0].balancer.holders.told
    assert len(told) == count, len(told)
