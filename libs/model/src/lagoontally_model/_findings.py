"""Findings: the faults of a document, each with its place."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault of a document.

    Attributes:
        place: Where it stands, as a path such as
            ``workspaces.pivot-command-relay.services.pivot-link.targets[2].address``.
        reason: What is wrong and what is accepted instead.
    """

    place: str
    reason: str


class Findings(NamedTuple):
    """Every fault found in a document: the sentinel returned in its stead.

    Attributes:
        document: What was read, such as ``template`` or ``settings``.
        findings: The faults in document order; never empty.
    """

    document: str
    findings: tuple[Finding, ...]

    @property
    def reason(self):
        """All faults as one line of text."""
        faults = "; ".join(f"{item.place}: {item.reason}" for item in self.findings)
        return f"{self.document} rejected: {faults}"
