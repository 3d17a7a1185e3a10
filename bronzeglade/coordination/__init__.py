"""Protocols between nodes and with the store, without input or output."""
