"""The short answers that a service usually gives, so that refusals stand out.

Covers services some of whose successes or errors are as short as the answer of a full
target. What counts as short depends on the longer answers on the same route.
"""

SHORT_RATIO = 1 / 3  # of the mean of longer answers
MAX_SHORT_BYTES = 512  # a status line and headers without a body
LENGTH_WEIGHT = 1 / 16
MIN_KNOWN = 65  # answers from which the usual share is learned
KNOWN_WEIGHT = 1 / 200
UNKNOWN_SHARE = 0.25  # assumed share of short answers, at most, until it is known
MAX_USUAL_SHARE = 0.95  # 1 less the share is a divisor
UNSEEN = 3  # short answers added to the count until the share is known
SUSPECT_WEIGHT = 1 / 8  # of an answer while more than usual are short


class AnswerMix:
    """Lengths of a service's answers by route, and the usual share of short ones.

    Attributes:
        short_places: Addresses and ports of the routes that had short answers.
        lengths: Mean length of the longer answers by address and port of a route.
        share: Share of short answers over a long time.
        answers: Number of answers that ``share`` rests on, at most ``MIN_KNOWN``.
    """

    __slots__ = ("answers", "lengths", "share", "short_places")

    def __init__(self):
        self.short_places = set()
        self.lengths = {}
        self.share = 0.0
        self.answers = 0

    @property
    def known(self):
        """Whether enough answers are known."""
        return self.answers >= MIN_KNOWN

    @property
    def may_be_full(self):
        """Whether short answers of an unknown mix may come from full targets.

        A full target refuses requests on all routes alike.
        """
        return not self.known and len(self.short_places) > 1

    @property
    def usual_share(self):
        """The known usual share of short answers, ``MAX_USUAL_SHARE`` at most."""
        return min(self.share, MAX_USUAL_SHARE) if self.known else 0.0

    @property
    def most_usual(self):
        """The largest share of short answers that may be usual."""
        if self.known:
            return self.share
        short = self.share * self.answers
        return min(UNKNOWN_SHARE, (short + UNSEEN) / (self.answers + UNSEEN))

    def is_short(self, place, length):
        """Return whether an answer is short for its route, and learn its length."""
        mean = self.lengths.get(place, length)
        if length <= min(MAX_SHORT_BYTES, SHORT_RATIO * mean):
            self.short_places.add(place)
            return True
        if length > mean / SHORT_RATIO:
            mean = length  # all answers so far were short ones
        self.lengths[place] = mean + (length - mean) * LENGTH_WEIGHT
        return False

    def add(self, *, short, suspect):
        """Count an answer.

        Args:
            short: Whether it was short.
            suspect: Whether more answers than usual are short.
        """
        if suspect:
            weight = SUSPECT_WEIGHT * KNOWN_WEIGHT
        elif self.known:
            weight = KNOWN_WEIGHT
        else:
            self.answers += 1
            weight = 1.0 / self.answers
        self.share += (short - self.share) * weight
