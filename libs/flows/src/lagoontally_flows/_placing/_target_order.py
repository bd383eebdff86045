"""Division of targets among the balancers of a data centre.

Covers many balancers before few slots: each sees few flows, so most targets look
equally free to it, and most of its flows go to the first ones of its order. Orders
drawn at random leave some targets first for many balancers and others for none. Here
each target is first, second and so on for as many balancers as any other; own flows
that are still open move a balancer on to its next target.
"""

MAX_PLACE = 1_000_003  # a prime, so that targets that aren't listed are spread


def target_order(rank, cookies):
    """Return each target's place in a balancer's order, by cookie.

    Args:
        rank: The balancer's place among those of its data centre, from 0.
        cookies: Cookies of the targets.
    """
    cookies = sorted(cookies)
    count = len(cookies)
    if not count:
        return {}
    round_, start = divmod(rank, count)
    stride = _stride(round_, count)
    return {cookies[(start + stride * place) % count]: place for place in range(count)}


def _stride(number, count):
    """Return one of the steps through so many targets that leave out none.

    Balancers with the same first target take different ones, so that the flows of a
    target that is full or set aside don't all go to the same other one.

    Args:
        number: Number of the step, from 0; after the last one comes the first.
        count: Number of the targets.
    """
    strides = []
    for step in range(1, count):
        if _common_divisor(step, count) == 1:
            strides.append(step)
            if len(strides) > number:
                return step
    return strides[number % len(strides)] if strides else 1


def _common_divisor(one, other):
    while other:
        one, other = other, one % other
    return one


class TargetOrder:
    """This balancer's order of the targets of each service and data centre.

    Args:
        view: The ``View``.
        rank: A random rank, until the members of the data centre are known.

    Attributes:
        rank: This balancer's place among those of its data centre, from 0.
    """

    def __init__(self, view, rank):
        self.view = view
        self.rank = rank
        self._orders = {}
        self._valid_for = None

    def place(self, target):
        """Return a target's place in the order, from 0."""
        if self._valid_for != (self.view.generation, self.rank):
            self._orders = {}
            self._valid_for = (self.view.generation, self.rank)
        key = (target.service, target.data_centre)
        order = self._orders.get(key)
        if order is None:
            listed = self.view.usable.values()
            order = self._orders[key] = target_order(
                self.rank,
                [one.cookie for one in listed if key == (one.service, one.data_centre)],
            )
        place = order.get(target.cookie)
        if place is None:  # delisted, and may return
            place = len(order) + target.cookie * (self.rank + 1) % MAX_PLACE
        return place
