"""Protocols between nodes and with the store, without I/O."""
