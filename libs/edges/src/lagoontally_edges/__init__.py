"""Sockets, codecs and clients around the core."""
