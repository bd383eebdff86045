"""Admission: who is let in where targets have too little room."""

from ._admission import NO_ROOM, Admission
from ._full_targets import FullTargets

__all__ = ["NO_ROOM", "Admission", "FullTargets"]
