"""Generates the settings reference `docs/settings.md`."""

from pathlib import Path

from bronzeglade import reference

SETTINGS_PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'settings.md'


def main() -> None:
    """Write the page from the settings models."""
    SETTINGS_PAGE.write_text(reference.markdown())


if __name__ == '__main__':
    main()
