"""The router process that runs on an entry VM."""
