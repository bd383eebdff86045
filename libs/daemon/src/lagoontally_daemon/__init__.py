"""The balancer process and its composition root."""

from ._composition import Balancer, compose

__all__ = ["Balancer", "compose"]
