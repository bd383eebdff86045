"""The balancer process that forwards callers' packets on the users' platform."""

from ._main import main

__all__ = ["main"]
