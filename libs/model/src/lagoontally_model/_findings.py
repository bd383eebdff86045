"""Faults of a document, each with its path."""

from typing import NamedTuple


class Finding(NamedTuple):
    """One fault of a document.

    Attributes:
        place: Path of the faulty value, such as
            ``workspaces.pivot-command-relay.services.pivot-link.targets[2].address``.
        reason: What is wrong and what is accepted.
    """

    place: str
    reason: str


class Findings(NamedTuple):
    """Every fault of a document, returned instead of its typed form.

    Attributes:
        document: Kind of the document, such as ``template`` or ``settings``.
        findings: The faults in document order; never empty.
    """

    document: str
    findings: tuple[Finding, ...]

    @property
    def reason(self):
        """All faults in one line of text."""
        faults = "; ".join(f"{item.place}: {item.reason}" for item in self.findings)
        return f"{self.document} rejected: {faults}"
