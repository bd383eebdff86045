"""The operators' command."""

from ._main import main

__all__ = ["main"]
