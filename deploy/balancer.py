"""Starts a balancer on an instance of the platform."""

import sys

_app = __file__.rpartition("/")[0]
sys.path[:0] = [_app, _app + "/../deps"]

from lagoontally_forwarder import main  # noqa: E402  # its path is set above

sys.exit(main())
