"""Configuration of the structured log."""

import sys
from pathlib import Path
from typing import TextIO

import eliot

STANDARD_ERROR = '-'


def configure(log_file: str) -> TextIO:
    """Write the log to a file, one JSON object per line.

    Args:
      log_file: path of a file to append to, or `-` for standard error.

    Returns:
      The open file.
    """
    destination: TextIO = sys.stderr
    if log_file != STANDARD_ERROR:
        # Line buffering keeps complete lines if the process is killed.
        destination = Path(log_file).open('a', buffering=1, encoding='utf-8')
    eliot.to_file(destination)
    return destination
