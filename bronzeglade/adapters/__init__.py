"""Clients of outside systems behind Protocol types."""
