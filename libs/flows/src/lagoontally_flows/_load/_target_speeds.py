"""Which targets are slow, by the answers that a data centre's balancers saw.

Covers targets that turn slow, for a while or for good, and long requests among short
ones. A target is compared with those of its service in its own data centre, since
answers from others take longer on the way.
"""

from ._flap_backoff import FlapBackoff

SAMPLES = 128  # latest answers kept for each target
SAMPLE_LIFETIME_MS = 3_000
RECENT_MS = 700  # older answers count only where there are too few of this age
RATE_MS = 1_000  # time over which answers are counted
MIN_SAMPLES = 8  # fewer may all be of long requests
MIN_LATER_SAMPLES = 4  # to judge a target that is set aside
MIN_REPORTERS = 2  # a single balancer's delays don't count as a target's
USUAL_QUANTILE = 0.33  # leaves two thirds of the targets that may be slow
SLOW_FACTOR = 2.5  # a target is slow from this multiple of the usual time on
NORMAL_FACTOR = 1.6
MIN_EXCESS_MS = 15  # more than delays of the network
FALL_WEIGHT = 0.01  # of a shorter sample in the moving average of the usual time
RISE_WEIGHT = 0.0025  # of a longer one; most targets may be slow for a while
MIN_SHARE = 0.1  # keeps answers coming, which show that it is fast again
STEP_FACTOR, STEP = 1.18, 0.025  # growth of the share of a target that is fast again
MIN_LOAD = 0.1
MAX_HELD = 0.5  # of a service's targets in a data centre, with dead ones


class TargetSpeeds:
    """Answer times by target, and the shares of slow targets.

    Attributes:
        shares: Share of a usual target's flows by cookie, of slow targets only.
        work_ms: Time that a request takes without waiting, by cookie, as last judged.
        usual_ms: Time in milliseconds that targets are compared with, by pairs of a
            service and a data centre. It follows their own past slowly, so that most
            targets of a service may be slow at the same time.
        backoff: The ``FlapBackoff``, whose targets don't come back yet.
    """

    def __init__(self):
        self.backoff = FlapBackoff()
        self.shares = {}
        self.work_ms = {}
        self.usual_ms = {}
        self._samples = {}
        self._suspects = set()
        self._slow = set()

    def on_answers(self, host, answers, now_ms):
        """Record the answers in a balancer's report.

        Args:
            host: The balancer's host.
            answers: Pairs of a cookie and an answer time.
            now_ms: Current time.
        """
        for cookie, waited_ms in answers:
            samples = self._samples.setdefault(cookie, [])
            samples.append((now_ms, host, waited_ms))
            if len(samples) > SAMPLES:
                del samples[0]

    def judge(self, targets, now_ms, *, dead=frozenset(), loads=()):
        """Update ``shares``.

        Args:
            targets: The listed ``Target`` records; all others are forgotten.
            now_ms: Current time.
            dead: Cookies of those that are dead.
            loads: Part of the usable slots that callers keep busy, by pairs of a
                service and a data centre; where it is unknown, 1.
        """
        groups = {}
        for target in targets:
            if target.leaving:
                continue
            group = groups.setdefault((target.service, target.data_centre), [])
            group.append(target.cookie)
        listed = {cookie for cookies in groups.values() for cookie in cookies}
        self._forget_all_but(listed, now_ms)
        self._update_work(targets, now_ms)
        for place, cookies in groups.items():
            self._update_usual(place, cookies)
        self._find_slow(groups)
        self.backoff.update(
            targets,
            bad=dead | self._slow,
            good=listed - dead - self._slow,
            now_ms=now_ms,
        )
        shares, suspects = {}, set()
        for place, cookies in groups.items():
            load = dict(loads).get(place, 1.0)
            found = self._judge_group(cookies, self.usual_ms.get(place), dead, load)
            suspects.update(found)
            shares.update(found)
        # A queue that passes makes a target look slow once.
        known = self._suspects | self.shares.keys() | self.backoff.held.keys()
        self.shares = {one: shares[one] for one in shares if one in known}
        self._suspects = suspects

    def _update_work(self, targets, now_ms):
        """Update ``work_ms``.

        A target that warms up isn't judged: it is slow by nature, and all that return
        together are.
        """
        self.work_ms = {}
        for target in targets:
            samples = self._samples.get(target.cookie)
            if not samples or target.warm_up_ms > 0:
                continue
            judged = self._judged_samples(target.cookie, samples, now_ms)
            if judged:
                most_ms = target.slots * _answer_interval_ms(samples, now_ms)
                self.work_ms[target.cookie] = min(_usual_wait_ms(judged), most_ms)

    def waits_since(self, cookie, since_ms):
        """Return the times of a target's answers that were reported since then."""
        samples = self._samples.get(cookie, ())
        return [waited_ms for at_ms, _, waited_ms in samples if at_ms > since_ms]

    def speed(self, target):
        """Return the speed of a target, 1 if it is a usual one."""
        share = self.shares.get(target.cookie, 1.0)
        usual_ms = self.usual_ms.get((target.service, target.data_centre))
        work_ms = self.work_ms.get(target.cookie)
        is_held = target.cookie in self.backoff.held
        if share == 1.0 or is_held or usual_ms is None or work_ms is None:
            return share
        return max(share, min(1.0, usual_ms / work_ms))

    def _find_slow(self, groups):
        """Update which targets were slow when their answers last told."""
        for place, cookies in groups.items():
            usual_ms = self.usual_ms.get(place)
            for cookie in cookies:
                work_ms = self.work_ms.get(cookie)
                if work_ms is None or usual_ms is None:
                    continue
                if cookie in self.shares and _is_slow(work_ms, usual_ms):
                    self._slow.add(cookie)
                elif work_ms < NORMAL_FACTOR * usual_ms:
                    self._slow.discard(cookie)

    def _update_usual(self, place, cookies):
        """Update the usual time of a group of targets, unless no answer tells it."""
        works = sorted(self.work_ms[one] for one in cookies if one in self.work_ms)
        if not works:
            return
        latest_ms = works[int(USUAL_QUANTILE * len(works))]
        before_ms = self.usual_ms.get(place, latest_ms)
        weight = FALL_WEIGHT if latest_ms < before_ms else RISE_WEIGHT
        self.usual_ms[place] = before_ms + weight * (latest_ms - before_ms)

    def _judge_group(self, cookies, usual_ms, dead, load):
        """Return the shares of the slow targets among a service's in a data centre."""
        held = self.backoff.held
        shares = {}
        for cookie in cookies:
            share = self._share(cookie, usual_ms, load)
            if share < 1.0:
                shares[cookie] = share
        allowed = MAX_HELD * len(cookies) - len(dead.intersection(cookies))
        allowed -= sum(1.0 - share for share in shares.values())
        for cookie in sorted(held.keys() & cookies, key=held.get, reverse=True):
            allowed -= 0.0 if cookie in dead else shares.get(cookie, 1.0) - MIN_SHARE
            if allowed < 0:
                break
            shares[cookie] = MIN_SHARE
        return shares

    def _judged_samples(self, cookie, samples, now_ms):
        """Return the answers that a target is judged by, none if they are too few."""
        least = MIN_LATER_SAMPLES if cookie in self.shares else MIN_SAMPLES
        recent = [one for one in samples if now_ms - one[0] <= RECENT_MS]
        judged = recent if len(recent) >= least else samples[-least:]
        reporters = {host for _, host, _ in judged}
        return (
            judged if len(judged) >= least and len(reporters) >= MIN_REPORTERS else []
        )

    def _share(self, cookie, usual_ms, load):
        """Return the new share of a target, 1 if it isn't slow."""
        share = self.shares.get(cookie, 1.0)
        work_ms = self.work_ms.get(cookie)
        if work_ms is not None and usual_ms is not None:
            if _is_slow(work_ms, usual_ms):
                return slow_share(usual_ms / work_ms, load)
            if share < 1.0 and work_ms >= NORMAL_FACTOR * usual_ms:
                return share
        return min(1.0, share * STEP_FACTOR + STEP)

    def _forget_all_but(self, listed, now_ms):
        oldest_ms = now_ms - SAMPLE_LIFETIME_MS
        for cookie, samples in list(self._samples.items()):
            recent = [sample for sample in samples if sample[0] >= oldest_ms]
            if recent and cookie in listed:
                self._samples[cookie] = recent
            else:
                del self._samples[cookie]
        self._slow &= listed


def slow_share(speed, load):
    """Return a slow target's share of a usual target's flows.

    Requests wait least on average if a slow target takes its speed's share only where
    all slots are busy, and less the more of the others are free.

    Args:
        speed: Speed of the target, 1 if it is a usual one.
        load: Part of the usable slots that callers keep busy.
    """
    load = max(MIN_LOAD, min(1.0, load))
    return max(MIN_SHARE, (speed - speed**0.5 * (1.0 - load)) / load)


def _is_slow(work_ms, usual_ms):
    too_long = work_ms >= SLOW_FACTOR * usual_ms
    return too_long and work_ms - usual_ms >= MIN_EXCESS_MS


def _answer_interval_ms(samples, now_ms):
    """Return the mean time between the latest answers of a target.

    A target whose slots are all busy takes as many of these times for a request as it
    has slots, however long requests wait for one.
    """
    latest = [at_ms for at_ms, _, _ in samples if now_ms - at_ms <= RATE_MS]
    return RATE_MS / max(1, len(latest))


def _usual_wait_ms(samples):
    """Return the median answer time of a target.

    It is no more than the lower median of its reporters' medians: a slow balancer that
    saw most of the answers would make a good target look slow.
    """
    by_host = {}
    for _, host, waited_ms in samples:
        by_host.setdefault(host, []).append(waited_ms)
    medians = sorted(map(_lower_median, by_host.values()))
    return min(
        _lower_median([waited_ms for _, _, waited_ms in samples]),
        _lower_median(medians),
    )


def _lower_median(values):
    return sorted(values)[(len(values) - 1) // 2]
