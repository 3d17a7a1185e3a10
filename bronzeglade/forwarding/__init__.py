"""Request path for opaque requests: routing, attempts, streams, process."""
