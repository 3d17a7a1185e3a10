"""Destination of the structured log."""

import sys
from pathlib import Path
from typing import TextIO

import eliot

STANDARD_ERROR = '-'


def configure(log_file: str) -> TextIO:
    """Send the log to a file, one JSON object a line.

    Args:
      log_file: path that is appended to, or `-` for standard error.

    Returns:
      The open file.
    """
    destination: TextIO = sys.stderr
    if log_file != STANDARD_ERROR:
        # Line buffering: what a killed process logged before is kept.
        destination = Path(log_file).open('a', buffering=1, encoding='utf-8')
    eliot.to_file(destination)
    return destination
