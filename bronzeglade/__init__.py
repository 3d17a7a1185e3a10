"""A model-aware router for versions and cascades."""
