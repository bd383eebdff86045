"""Broken builds that a soak test must detect, one for each promise.

Each runs a few lines in a balancer's process before the program starts.
"""

from typing import NamedTuple

from lagoontally_standins.packets import BALANCER_PROGRAM


class Mutation(NamedTuple):
    """A broken build.

    Attributes:
        promise: The promise that it breaks.
        source: Code that patches the program.
    """

    promise: str
    source: str

    def command(self, python):
        """Return the command that runs a balancer of this build."""
        return [python, "-c", f"{self.source}\n{BALANCER_PROGRAM}"]


MUTATIONS = {
    "leaving targets get new flows": Mutation(
        "a leaving target gets no new flow",
        """
from lagoontally_flows._targets import View
put = View.put
View.put = lambda view, key, target, now_ms: put(
    view, key, target and target._replace(leaving=False), now_ms)
""",
    ),
    "flows go to any service": Mutation(
        "a request reaches its own service",
        """
from lagoontally_flows._targets import View
View.candidates = lambda view, _service, _now_ms, _is_evacuated=None: list(
    view.usable.values())
""",
    ),
    "dropped routes stay": Mutation(
        "a dropped route takes no request",
        """
from lagoontally_flows import Balancer
configure = Balancer.configure
def keep_routes(balancer, configuration):
    if balancer.configuration is not None:
        routes = {**balancer.configuration.routes, **configuration.routes}
        configuration = configuration._replace(routes=routes)
    return configure(balancer, configuration)
Balancer.configure = keep_routes
""",
    ),
    "balancers name a target differently": Mutation(
        "an open flow isn't reset",
        """
from posix import getpid
from lagoontally_platform import _documents
cookie = _documents.target_cookie
_documents.target_cookie = lambda name, born: cookie(name, born) ^ getpid()
""",
    ),
    "new routes are ignored": Mutation(
        "a route in force takes flows",
        """
from lagoontally_flows import Balancer
configure = Balancer.configure
Balancer.configure = lambda balancer, configuration: (
    balancer.configuration is None and configure(balancer, configuration))
""",
    ),
    "an entry that can't be read ends a balancer": Mutation(
        "no balancer ends by itself",
        """
from lagoontally_platform import _store
loads = _store.loads
def loads_or_end(text):
    try:
        return loads(text)
    except ValueError:
        if text:
            raise SystemError from None
        raise
_store.loads = loads_or_end
""",
    ),
    "evacuations are forgotten by a restart": Mutation(
        "an emptied data centre gets no new flow",
        """
from lagoontally_flows import Evacuations
on_read, on_list = Evacuations.on_read, Evacuations._on_list
def read_nothing(evacuations, changes, revision, now_ms, *, may_be_old):
    on_read(evacuations, [], revision, now_ms, may_be_old=may_be_old)
def list_only_changes(evacuations, position, entries, now_ms):
    if evacuations.history.evacuations:
        on_list(evacuations, position, entries, now_ms)
    else:
        evacuations.history.evacuations = position
Evacuations.on_read, Evacuations._on_list = read_nothing, list_only_changes
""",
    ),
    "an older copy undoes an evacuation": Mutation(
        "an emptied data centre gets no new flow",
        """
from lagoontally_flows import Evacuations
on_read = Evacuations.on_read
def read_once(evacuations, changes, revision, now_ms, *, may_be_old):
    if may_be_old or not evacuations.history.knows_evacuations:
        on_read(evacuations, changes, revision, now_ms, may_be_old=False)
Evacuations.on_read = read_once
""",
    ),
    "every balancer takes the whole budget": Mutation(
        "a cold target gets no more than it bears",
        """
from lagoontally_flows._placing import _warm_up_budgets
_warm_up_budgets._share = lambda host, members, cookie, total: total
""",
    ),
    "a warm-up counts from a target's arrival": Mutation(
        "a cold target gets no more than it bears",
        """
from lagoontally_flows._targets import WarmUps
on_entry, left_ms, arrived_ms = WarmUps.on_entry, WarmUps.left_ms, {}
def note_arrival(warm_ups, target, now_ms):
    arrived_ms.setdefault(target.cookie, now_ms)
    on_entry(warm_ups, target, now_ms)
def left_since_arrival(warm_ups, target, now_ms):
    until_ms = arrived_ms.get(target.cookie, now_ms) + warm_ups._warm_up_ms(target)
    return max(0, min(left_ms(warm_ups, target, now_ms), until_ms - now_ms))
WarmUps.on_entry, WarmUps.left_ms = note_arrival, left_since_arrival
""",
    ),
    "a restored store isn't noticed": Mutation(
        "all balancers follow the store",
        """
from lagoontally_flows._store import CURRENT, StoreHistory
StoreHistory.compare_era = lambda history, era, now_ms: CURRENT
""",
    ),
    "a restored copy takes back that a target leaves": Mutation(
        "a leaving target gets no new flow",
        """
from lagoontally_flows._targets import View
View._with_known_state = lambda view, target: target
""",
    ),
    "a restored copy brings back an older configuration": Mutation(
        "a route in force takes flows",
        """
from lagoontally_flows import Balancer
def configure(balancer, configuration):
    balancer.configuration = configuration
    return True
Balancer.configure = configure
""",
    ),
    "a read that may be old gives a position": Mutation(
        "a route in force takes flows",
        """
from lagoontally_flows import StoreSync, VersionCheck
VersionCheck.on_version = lambda check, version, host, now_ms: None
def without_age(method):
    return lambda sync, *arguments, may_be_old=False, **named: method(
        sync, *arguments, **named)
StoreSync.on_listed = without_age(StoreSync.on_listed)
StoreSync.on_configuration_read = without_age(StoreSync.on_configuration_read)
""",
    ),
}
