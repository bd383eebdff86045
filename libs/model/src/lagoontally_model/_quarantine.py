"""Quarantine of an address that was retired by a workspace."""

from datetime import datetime, timedelta


def remaining_s(published: datetime, retired: datetime, quarantine_s: int) -> float:
    """Return the remaining quarantine when a template is published.

    The times are subtracted, as computing the end of the quarantine could overflow.

    Args:
        published: When the template was published.
        retired: When the address left its workspace.
        quarantine_s: Length of the quarantine.

    Returns:
        Seconds; zero or less once the quarantine is over.
    """
    return quarantine_s - (published - retired) / timedelta(seconds=1)
