"""Command-line scripts: demo, benchmarks, soak tests and generators."""
