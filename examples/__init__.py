"""Example manifests and runnable examples."""
