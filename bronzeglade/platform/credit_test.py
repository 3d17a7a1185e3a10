"""Tests of the summary of benchmark reports."""

import json
from pathlib import Path

import pytest

from bronzeglade.platform import credit

REPORT = {
    'G': 0.4133,
    'served': 0.6659,
    'classes': [
        {
            'name': 'digest',
            'n': 204,
            'in_aim': 105,
            'late': 43,
            'refused': 0,
            'failed': 23,
            'not_owed': 33,
            'worth': 0.567,
            'p50_ms': 1,
        }
    ],
    'services': [
        {
            'name': 'models',
            'arrivals': 874,
            'not_run': 80,
            'ran_badly': 317,
            'again': 322,
        }
    ],
    'prices': [['bytes', 0.007, 0.0637], ['probes', 0, 0], ['note', 1]],
    'unserved_by': [['deadline', 67, ['1.0 s request']]],
}


def test_summary_prints_each_figure_under_its_heading(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Changes are judged by these figures, so none may be swapped."""
    path = tmp_path / 'scale-2.json'
    path.write_text(json.dumps(REPORT))
    assert credit.main([str(path)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == 'scale-2: worth 0.413, earned 0.666'
    assert lines[2].split() == 'digest 204 105 43 23 0 33 0.567'.split()
    assert '322 further attempts, 317 wasted runs, 80 refused' in lines[3]
    assert lines[4] == 'earned nothing: deadline 67'
    assert lines[5] == 'prices: bytes 0.0637'


def test_unreadable_report_is_an_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A truncated report must not be printed as a day without losses."""
    path = tmp_path / 'cut.json'
    path.write_text('{"G": 0.4')
    assert credit.main([str(path)]) == credit.EXIT_UNREADABLE
    assert 'cut.json' in capsys.readouterr().err
