"""Fault matrix, experiments and capacity measurements."""
