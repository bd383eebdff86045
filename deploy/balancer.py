"""Starts a balancer on an instance of the platform."""

import sys

sys.path.insert(0, __file__.rpartition("/")[0])

from lagoontally_forwarder import main  # noqa: E402  # its path is set above

sys.exit(main())
