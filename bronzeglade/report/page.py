"""The burn report as a self-contained HTML page."""

import string
from collections.abc import Iterable
from html import escape

from bronzeglade.report.burn import FAST_BURN, GroupBurn, Latency, Report
from bronzeglade.report.text import main_cause

BAR_WIDTH = 150  # pixels at FULL_SCALE
FULL_SCALE = 20  # burn rate if all requests of a 0.95 objective miss
_MS_PER_S = 1000

_PAGE = string.Template("""<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:24px;color:#1b1f24}
h1{font-size:20px;margin:0 0 4px}h2{font-size:16px;margin:22px 0 6px}
.banner{padding:10px 14px;border-radius:6px;margin:10px 0;font-weight:600}
.fast{background:#fdd;color:#8a1010}.calm{background:#dff3e0;color:#165a22}
.warn{background:#fff1cc;color:#6b4a00}
table{border-collapse:collapse}td,th{padding:3px 10px;text-align:left;
border-bottom:1px solid #e3e6ea;vertical-align:middle}
td.n{text-align:right;font-variant-numeric:tabular-nums}
.over{color:#b01010;font-weight:600}svg{display:block}
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn rate of 1 uses up the error budget exactly; $fast or more in both of
the two shortest windows is a fast burn. Latencies are upper bounds of 95th
percentiles since the processes started.</p>
$banners
$sections
</body></html>
""")  # noqa: WPS462


def to_html(report: Report) -> str:
    """Return the report as HTML, with fast-burning groups in banners on top."""
    sections = [
        _section(report, grouping, title)
        for grouping, title in (
            ('rank', 'By rank'),
            ('version', 'By version'),
            ('team', 'By team'),
        )
    ]
    return _PAGE.substitute(
        fast=FAST_BURN,
        banners='\n'.join(_banners(report)),
        sections='\n'.join([*sections, _exposure_list(report)]),
    )


def _banners(report: Report) -> list[str]:
    fast_burning = [group for group in report.groups if group.is_burning_fast()]
    banners = [
        _banner(
            'fast',
            f'{group.grouping} {group.name} burns fast: {main_cause(group)}',
        )
        for group in fast_burning
    ]
    if not fast_burning:
        banners.append(_banner('calm', 'No group burns its error budget fast.'))
    banners.extend(
        _banner('warn', f'{node} could not be read: {error}')
        for node, error in report.nodes_unread
    )
    if len(report.generation) > 1:
        generations = ', '.join(str(number) for number in report.generation)
        banners.append(_banner('warn', f'generations differ: {generations}'))
    return banners


def _banner(kind: str, text: str) -> str:
    return f'<div class="banner {kind}">{escape(text)}</div>'


def _section(report: Report, grouping: str, title: str) -> str:
    groups = [group for group in report.groups if group.grouping == grouping]
    groups.sort(key=lambda group: -(group.windows[0].burn_rate or 0))
    rows = ''.join(_row(group) for group in groups)
    return (
        f'<h2>{title}</h2><table><tr><th>name</th><th>burn 1 min</th>'
        '<th>5 min</th><th>30 min</th><th>1 h</th><th>first token</th>'
        '<th>between tokens</th><th>refusals</th><th>tokens</th></tr>'
        f'{rows}</table>'
    )


def _row(group: GroupBurn) -> str:
    bars = ''.join(
        f'<td>{_burn_bar(window.burn_rate)}</td>' for window in group.windows
    )
    refusals = '<br>'.join(
        f'{escape(cause)}: {count}' for cause, count in group.refusals.items()
    )
    return (
        f'<tr><td>{escape(group.name)}</td>{bars}'
        f'{_latency(group.first_token)}{_latency(group.inter_token)}'
        f'<td>{refusals}</td><td class="n">{group.tokens:,.0f}</td></tr>'
    )


def _burn_bar(rate: float | None) -> str:
    if rate is None:
        return 'no requests'
    width = min(rate, FULL_SCALE) / FULL_SCALE * BAR_WIDTH
    budget_mark = BAR_WIDTH / FULL_SCALE
    colour = '#c62828' if rate >= FAST_BURN else '#2e7d32'
    if 1 < rate < FAST_BURN:
        colour = '#e09000'
    return (
        f'<svg width="{BAR_WIDTH + 40}" height="16">'
        f'<rect width="{BAR_WIDTH}" height="12" y="2" fill="#eef0f3"/>'
        f'<rect width="{width:.1f}" height="12" y="2" fill="{colour}"/>'
        f'<line x1="{budget_mark}" x2="{budget_mark}" y1="0" y2="16" '
        'stroke="#333"/>'
        f'<text x="{BAR_WIDTH + 4}" y="13" font-size="12">{rate:.1f}</text>'
        '</svg>'
    )


def _latency(latency: Latency) -> str:
    if latency.p95 is None:
        return '<td class="n">-</td>'
    text = f'{latency.p95 * _MS_PER_S:.0f} ms'
    if latency.target is None:
        return f'<td class="n">{text}</td>'
    css_class = 'n over' if latency.p95 > latency.target else 'n'
    return (
        f'<td class="{css_class}">{text} / '
        f'{latency.target * _MS_PER_S:.0f} ms</td>'
    )


def _exposure_list(report: Report) -> str:
    return _bullet_list(
        f'{rollout}: {exposed} requests on the candidate'
        for rollout, exposed in report.exposure.items()
    )


def _bullet_list(lines: Iterable[str]) -> str:
    entries = ''.join(f'<li>{escape(line)}</li>' for line in lines)
    if not entries:
        return ''
    return f'<h2>Exposure by roll-out</h2><ul>{entries}</ul>'
