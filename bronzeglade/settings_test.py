"""Guards against wrong parsing and outdated documentation of settings."""

import datetime as dt
from pathlib import Path

import pytest

from bronzeglade import reference, settings
from bronzeglade.settings import EntrySettings

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'settings.md'
KEY = '0123456789abcdef0123456789abcdef'
REQUIRED = (
    '--vm=entry-0',
    '--host=127.0.0.1',
    '--port=8000',
    '--control_port=8001',
    '--failure_domain=qld-a',
    '--vm_list_url=http://127.0.0.1:8100',
    '--table_url=http://127.0.0.1:8101',
)


def test_reference_matches_the_code() -> None:
    """The settings page must list the current flags and defaults."""
    assert PAGE.read_text() == reference.markdown()


def test_all_errors_are_listed_at_once() -> None:
    """Operators must not need a restart to find each further error."""
    parsed, errors = settings.parse(
        EntrySettings,
        [*REQUIRED, '--port=0', '--drain_limit=soon'],
        'entry',
    )
    assert parsed is None
    assert [error.split(':')[0] for error in errors] == [
        '--port',
        '--peer_keys',
        '--drain_limit',
    ]


def test_flag_takes_precedence_over_variable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An environment variable of the image must not override a flag."""
    monkeypatch.setenv('BRONZEGLADE_PEER_KEYS', f'1:{KEY}')
    monkeypatch.setenv('BRONZEGLADE_DRAIN_LIMIT', '1m')
    monkeypatch.setenv('BRONZEGLADE_PROBE_INTERVAL', '2s')
    parsed, errors = settings.parse(
        EntrySettings, [*REQUIRED, '--drain_limit=30s'], 'entry'
    )
    assert parsed is not None, errors
    assert parsed.drain_limit == dt.timedelta(seconds=30)
    assert parsed.probe_interval == dt.timedelta(seconds=2)
