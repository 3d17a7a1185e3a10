"""Adapter to the users' platform: its settings, wire names and documents.

Only this package uses the platform's names. It translates them to the router's
types and makes no routing decisions.
"""
