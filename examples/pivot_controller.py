"""A pivot controller: keeps a status line open and stops the pivot once.

Usage: ``python examples/pivot_controller.py 127.20.0.1:5701 pivot-7``, with the
entry address of the pivot-link service that ``make up`` prints.
"""

import json
import sys
import time
import uuid

from lagoontally_caller import Answered, Caller, Failed, NotRun, Unknown

WATCH_S = 5.0
STOP_TIMEOUT_S = 10.0


def show_status(notification):
    """Print one notification of the status line."""
    print(f"status {notification.sequence}: {notification.body.decode()}")


def stop_pivot(caller, pivot):
    """Stop a pivot and return the result as text.

    A stop that wasn't run is sent again, one whose outcome isn't known never.
    """
    command = {"id": str(uuid.uuid4()), "command": "stop"}
    payload = json.dumps(command).encode()
    path = f"/pivot/{pivot}/command"
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    while True:
        left_s = deadline_s - time.monotonic()
        match caller.command(path, payload, timeout_s=left_s):
            case Answered(code=code):
                return f"stopped ({code})"
            case NotRun(retry_after_s=wait_s, reason=reason):
                print(f"not run ({reason})")
                if time.monotonic() + wait_s >= deadline_s:
                    return f"gave up: send it again after {wait_s:.0f} s"
                time.sleep(wait_s)
            case Unknown(reason=reason):
                return f"unknown ({reason}): read the pivot's status before a new stop"
            case Failed(code=code, reason=reason):
                return f"refused as it stands ({code} {reason})"


def main(entry, pivot):
    """Show the status of a pivot for ``WATCH_S`` and stop it."""
    with Caller(entry=entry) as caller:
        line = caller.open_line(f"/pivot/{pivot}/status", show_status)
        time.sleep(WATCH_S)
        print(f"the line is {line.state}")
        print(stop_pivot(caller, pivot))
        line.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
