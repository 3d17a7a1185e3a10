"""The request path for opaque requests: doors, attempts, streams, node."""
