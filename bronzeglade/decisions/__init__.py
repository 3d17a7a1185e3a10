"""Decision logic without I/O."""
