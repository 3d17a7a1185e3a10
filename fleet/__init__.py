"""Launcher, load generator, checker, fault tests and benchmarks."""
