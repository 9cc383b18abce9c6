"""Codecs without sockets or clocks."""
