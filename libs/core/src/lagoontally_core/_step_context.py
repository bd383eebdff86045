"""Context of one step, shared by its handlers."""

from random import Random
from typing import NamedTuple

from ._actions import AnswerCaller, Count, LogChange, ReplyTo
from ._echo import Echo, encode_echo
from ._rendezvous import SESSION_BYTES
from ._state import State

MAX_REFRESH_WAIT_MS = 1_000
TOKEN_BITS = 64
TOKEN_BYTES = 8


class StepContext(NamedTuple):
    """Context of one step.

    Attributes:
        state: The balancer's state.
        now_ms: Time of the step.
        random: Source of random numbers.
        actions: The actions of the step so far.
    """

    state: State
    now_ms: int
    random: Random
    actions: list

    def view_is_fresh(self):
        """Return whether the view was refreshed since the latest pause.

        Until then no new work is started, for at most ``MAX_REFRESH_WAIT_MS``,
        since a balancer that is cut off must resume without a refresh.
        """
        state = self.state
        waited_ms = self.now_ms - state.resumed_ms
        return state.refreshed or waited_ms >= MAX_REFRESH_WAIT_MS

    def act(self, action):
        """Add an action."""
        self.actions.append(action)

    def count(self, name, value=1):
        """Add to a counter."""
        self.actions.append(Count(name, value))

    def log(self, level, text, **fields):
        """Log a change of state."""
        self.actions.append(LogChange(level, text, fields))

    def note(self, subjects, what, why):
        """Record a decision for ``explain``."""
        self.state.decision_log.note(self.now_ms, subjects, what, why)

    def new_token(self):
        """Return a random token for an exchange with a target."""
        return self.random.getrandbits(TOKEN_BITS).to_bytes(TOKEN_BYTES, "big")

    def new_session(self):
        """Return a random session number for a flow without a session."""
        return self.random.getrandbits(8 * SESSION_BYTES)

    def fresh_echo(self, service, session, target_hint=0):
        """Return an Echo of this balancer, issued now."""
        info = self.state.info
        echo = Echo(
            info.incarnation,
            session,
            target_hint,
            self.state.template_version,
            self.now_ms,
        )
        return encode_echo(echo, service, info.echo_key)

    def answer(self, reply_to, answer, echo=b""):
        """Answer a caller."""
        self.actions.append(AnswerCaller(reply_to, answer, echo))


def reply_to_request(flow, request):
    """Return where the answer to ``request`` goes."""
    return ReplyTo(flow, request.token, request.message_id, request.confirmable)


def flow_subjects(flow, token=b""):
    """Return the subjects under which a flow's decisions are recorded."""
    subjects = (flow.service, flow.caller)
    if token:
        return (*subjects, token.hex())
    return subjects
