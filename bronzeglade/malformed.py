"""Builders of malformed documents, messages and header values for tests."""

import copy
import json
from collections.abc import Iterator
from typing import Any, Final

from hypothesis import strategies as st

DEPTH = 2000  # levels; far beyond what any decoder accepts
DIGITS = 5000  # beyond the length that Python converts to a number
LONG_TEXT = 'x' * 5000
_PLACEHOLDER = '@@@'

DEEP_LIST = '[' * DEPTH + ']' * DEPTH
DEEP_OBJECT = '{"a":' * DEPTH + '1' + '}' * DEPTH

NUMBERS: Final = (
    '0',
    '-1',
    '1.5',
    '1e-300',
    '1e308',
    '1e400',
    '-1e400',
    'NaN',
    'Infinity',
    '-Infinity',
    '9223372036854775808',
    '18446744073709551616',
    '-9223372036854775809',
    '9' * 30,
    '9' * 400,
    '9' * DIGITS,
)
# Texts that some conversion to a number accepts, or nearly.
DIGIT_TEXTS: Final = (
    '',
    ' 5',
    '+5',
    '-5',
    '1_0',
    '\u0665',  # an Arabic-Indic digit
    '\u00b2',  # superscript two: a digit, but no decimal
    '9' * 30,
    '9' * DIGITS,
)
TEXTS: Final = (
    *DIGIT_TEXTS,
    '\x00',
    'a\r\nb',
    ' a ',
    '\u65e5',
    LONG_TEXT,
)
ADDRESSES: Final = (
    '10.0.0.9',
    ':80',
    '[::1]:80',
    'host:80',
    '10.0.0.9:80:80',
    '010.0.0.9:80',
    '10.0.0.9\x00:80',
    '1' * DIGITS + ':80',
    'a' * 64 + '.example:80',
    *(f'10.0.0.9:{port}' for port in (0, 65536, *DIGIT_TEXTS)),
)
JSON_VALUES: Final = (
    'null',
    'true',
    '[]',
    '{}',
    '[[]]',
    '[null]',
    '[1,2,3]',
    '["a"]',
    '{"a":1}',
    '{"a":null}',
    DEEP_LIST,
    DEEP_OBJECT,
    r'"\ud800"',
    *NUMBERS,
    *(json.dumps(text) for text in (*TEXTS, *ADDRESSES)),
)


def json_variants(document: Any) -> Iterator[bytes]:
    """Yield encodings of a document with one malformed or missing value."""
    encoded = json.dumps(document)
    yield from (value.encode() for value in JSON_VALUES)
    yield from (b'', b'\x00', b'\xff', encoded.encode()[:-1])
    yield encoded.replace('{', r'{"\ud800": 1, ', 1).encode()
    for path in _paths(document):
        changed = copy.deepcopy(document)
        _replace(changed, path, _PLACEHOLDER)
        template = json.dumps(changed)
        for value in JSON_VALUES:
            yield template.replace(f'"{_PLACEHOLDER}"', value).encode()
        _parent(changed, path).pop(path[-1])
        yield json.dumps(changed).encode()


def json_like(document: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy of a document with several generated values."""
    paths = list(_paths(document))
    values = st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.integers(-(10**400), 10**400)
        | st.floats()
        | st.text(max_size=8)
        | st.sampled_from((*TEXTS, *ADDRESSES)),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=4), inner, max_size=3)
        ),
        max_leaves=6,
    )
    changes = st.lists(
        st.tuples(st.sampled_from(paths), values), min_size=1, max_size=3
    )
    return changes.map(lambda chosen: _changed(document, chosen))


def packed_variants(document: Any) -> Iterator[Any]:
    """Yield a MessagePack document with one malformed value or key."""
    values: tuple[Any, ...] = (
        *(None, True, [], {}, [1], [[]], {'a': 1}, {1: 2}),
        *('', 'x', '\x00', LONG_TEXT, b'', b'\xff', b'x'),
        *(0, -1, 1.5, 1e308, float('nan'), float('inf')),
        *(2**63, 2**64 - 1, -(2**63)),
    )
    yield from values
    for path in _paths(document):
        for value in values:
            changed = copy.deepcopy(document)
            _replace(changed, path, value)
            yield changed
            if isinstance(_parent(document, path), dict):
                if not isinstance(value, list | dict):
                    renamed = copy.deepcopy(document)
                    parent = _parent(renamed, path)
                    parent[value] = parent.pop(path[-1])
                    yield renamed


def header_values() -> list[bytes]:
    """Return values of headers that an HTTP parser accepts."""
    texts = (
        *NUMBERS,
        *('nan', 'inf', '-inf', '1,2', '1,2,0', '-1,-2,-3', 'a:-9', 'a:'),
        *(f'{number},0,1' for number in NUMBERS),
        *(f'0,{number}' for number in NUMBERS),
        *(f'a:{number}' for number in NUMBERS),
        *(f'timeout={number}' for number in (*NUMBERS, *DIGIT_TEXTS)),
        *(text for text in TEXTS if '\x00' not in text and '\n' not in text),
        '86399999999999999',  # milliseconds, nearly the longest timedelta
    )
    return [text.strip().encode() for text in texts] + [b'\xb2', b'\xff']


_Path = tuple[Any, ...]


def _paths(document: Any, prefix: _Path = ()) -> Iterator[_Path]:
    children: Any = ()
    if isinstance(document, dict):
        children = document.items()
    elif isinstance(document, list):
        children = enumerate(document)
    for key, child in children:
        yield (*prefix, key)
        yield from _paths(child, (*prefix, key))


def _parent(document: Any, path: _Path) -> Any:
    for key in path[:-1]:
        document = document[key]
    return document


def _replace(document: Any, path: _Path, value: Any) -> None:
    _parent(document, path)[path[-1]] = value


def _changed(document: Any, changes: list[tuple[_Path, Any]]) -> bytes:
    changed = copy.deepcopy(document)
    for path, value in changes:
        try:
            _replace(changed, path, value)
        except (LookupError, TypeError):
            # An earlier change has replaced the parent.
            continue
    return json.dumps(changed).encode()
