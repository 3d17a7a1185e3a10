"""Launcher, load tool, checker and benches."""
