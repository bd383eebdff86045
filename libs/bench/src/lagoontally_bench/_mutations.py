"""Mutations of the core, one for each promise.

The checks must detect each of them: one that misses a mutation proves nothing.
"""

from contextlib import contextmanager
from unittest.mock import patch

from lagoontally_core import Refused


def _forget_each_command(home_module):
    """Make the home forget each command before it is answered."""
    original = home_module._run_command

    def run_command(flow, request, key, validation, context):
        original(flow, request, key, validation, context)
        context.state.remembered.pop(key, None)

    return patch.object(home_module, "_run_command", run_command)


@contextmanager
def apply_mutation(name):
    """Run the body with the core mutated.

    Args:
        name: A name in ``MUTATIONS``; empty for none.
    """
    if not name:
        yield
        return
    with MUTATIONS[name]():
        yield


def repeats_run_again():
    """A repeated command isn't recognized as a repetition."""
    from lagoontally_core import _home

    return _forget_each_command(_home)


def lost_home_told_not_run():
    """A command whose home is lost is answered as not run."""
    from lagoontally_core import _home

    def answer(flow, request, context):
        _home.answer_need_echo(flow, request, "mutated", context)

    return patch("lagoontally_core._ingress.answer_lost_home", answer)


def timeout_told_not_run():
    """A command that times out is refused as not run."""

    def refuse(reason):
        return Refused(1, reason)

    return patch("lagoontally_core._exchanges.Unknown", refuse)


def answers_swapped():
    """Each command gets the answer to the previous command."""
    from lagoontally_core import _exchanges

    original = _exchanges.finish
    last = []

    def finish(exchange, answer, context, *, hint=0):
        last.append(answer)
        original(exchange, last[-2] if len(last) > 1 else answer, context, hint=hint)

    return patch("lagoontally_core._exchanges.finish", finish)


def lines_not_handed_over():
    """A leaving balancer drops its lines instead of handing them over."""

    def no_lines(lines, remembered):
        yield [], remembered

    return patch("lagoontally_core._leave._chunks", no_lines)


def leaving_target_chosen():
    """A leaving target still gets new work."""
    from lagoontally_core import _templates

    original = _templates._update_target

    def update_target(published, *arguments):
        original(published._replace(leaving=False), *arguments)

    return patch.object(_templates, "_update_target", update_target)


def older_template_adopted():
    """Each template that is read is adopted, also an older one."""
    from lagoontally_core import _templates

    original = _templates.adopt

    def adopt(template, document, context):
        if context.state.template and template.version < context.state.template_version:
            context.state.template = None
        return original(template, document, context)

    return patch("lagoontally_core._templates.adopt", adopt)


def foreign_target_used():
    """Requests are sent to a target of the other workspace."""
    from lagoontally_core import _exchanges

    original = _exchanges._send

    def send(exchange, target, context):
        original(exchange, target, context)
        last = next(
            number
            for number in range(len(context.actions) - 1, -1, -1)
            if type(context.actions[number]).__name__ == "SendUpstream"
        )
        action = context.actions[last]
        context.actions[last] = action._replace(target="127.20.2.1:7001")

    return patch("lagoontally_core._exchanges._send", send)


MUTATIONS = {
    function.__name__.replace("_", " "): function
    for function in (
        repeats_run_again,
        lost_home_told_not_run,
        timeout_told_not_run,
        answers_swapped,
        lines_not_handed_over,
        leaving_target_chosen,
        older_template_adopted,
        foreign_target_used,
    )
}
