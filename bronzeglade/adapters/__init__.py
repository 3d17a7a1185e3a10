"""Clients of external systems, behind Protocol types."""
