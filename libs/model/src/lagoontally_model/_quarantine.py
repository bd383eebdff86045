"""How long an address that left a workspace is kept from the others."""

from datetime import datetime, timedelta


def remaining_s(published: datetime, retired: datetime, quarantine_s: int) -> float:
    """Return what is left of a quarantine when a template is published.

    The times are subtracted, as the end of the quarantine could overflow.

    Args:
        published: When the template was published.
        retired: When the address left its workspace.
        quarantine_s: Length of the quarantine.

    Returns:
        Seconds; zero or less once the quarantine is over.
    """
    return quarantine_s - (published - retired) / timedelta(seconds=1)
