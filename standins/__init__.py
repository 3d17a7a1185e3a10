"""Stand-ins for the systems that the router talks to."""
