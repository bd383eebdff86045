"""Steps for plays of too little room."""

from behave import given, then, when

from lagoontally_bench._admission_play import CONFIRMATION, LOOKUP, Play


@given(
    "{balancers:d} balancers, {targets:d} targets, {slow:d} of them slow, "
    "and calls for {load:g} of the slots"
)
def step_sizes(context, balancers, targets, slow, load):
    """Callers ask for a part of the slots, or for more than there are."""
    context.sizes = {
        "balancers": balancers,
        "targets": targets,
        "slow": slow,
        "load": load,
    }


@when("callers come for {seconds:d} s")
def step_play(context, seconds):
    """Play the load with the balancers' decisions."""
    context.sizes["seconds"] = seconds
    context.play = Play(**context.sizes).run()


@then("at least {share:g} of the credit of one queue is earned")
def step_credit(context, share):
    """Answers within the objective count, later ones less."""
    assert context.play.credit() >= share, context.play.credit()


@then("confirmations are served better than lookups")
def step_order(context):
    """Requests of a higher rank come first."""
    play = context.play
    assert play.share(CONFIRMATION) > play.share(LOOKUP)


@then("no kind gets less than {share:g} of what one queue would serve of it")
def step_floor(context, share):
    """No kind starves."""
    play = context.play
    for route, limit in play.limits().items():
        assert play.share(route) >= share * limit, (route.name, play.share(route))


@then(
    "the refused are told within {median:d} ms in the median and {most:d} ms "
    "in the 99th percentile"
)
def step_told(context, median, most):
    """Who isn't served hears it soon, after all tries."""
    told = sorted(context.play.refused_ms)
    assert told[len(told) // 2] <= median, told[len(told) // 2]
    assert told[len(told) * 99 // 100] <= most, told[len(told) * 99 // 100]


@then("more is earned than by letting all in")
def step_baseline(context):
    """The same callers, but nobody is refused by a balancer."""
    context.baseline = Play(**context.sizes, admits_all=True).run()
    assert context.play.credit() > context.baseline.credit(), (
        context.play.credit(),
        context.baseline.credit(),
    )


@then("targets refuse at most a third as many flows")
def step_in_vain(context):
    """Few flows are sent in vain."""
    ours, all_in = (one.counts["shed"] for one in (context.play, context.baseline))
    assert 3 * ours <= all_in, (ours, all_in)


@then("every caller is let in")
def step_all_in(context):
    """Room for all is given to all."""
    assert context.play.resets == 0, context.play.resets
