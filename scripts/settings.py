"""Writes docs/settings.md."""

from pathlib import Path

from bronzeglade import reference

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'settings.md'


def main() -> None:
    """Write the page."""
    PAGE.write_text(reference.markdown())


if __name__ == '__main__':
    main()
