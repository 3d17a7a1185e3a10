"""Manifests and runnable examples."""
