"""Adapter of the users' platform: its settings, wire names and documents.

Nothing outside this package knows them. The package only translates.
"""
