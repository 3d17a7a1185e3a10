"""Guards that rows are decoded once, and that each may fail alone."""

from result import Err, Ok, Result

from bronzeglade.adapters.table import Row
from bronzeglade.forwarding import builders
from bronzeglade.forwarding.decoding import RowDecoder


def test_only_new_versions_are_decoded() -> None:
    """With hundreds of nodes, each change would decode hundreds of rows."""
    decoded: list[str] = []

    def decode(row: Row) -> Result[str, str]:
        decoded.append(row.key)
        return Err('no') if row.body == b'' else Ok(row.body.decode())

    decoder = RowDecoder(decode, 'unreadable', builders.log())
    rows = [Row(f'n{number}', 1, b'a') for number in range(200)]
    rows.append(Row('odd', 1, b''))
    assert set(decoder.read(rows)) == {'a'}
    assert len(decoded) == 201
    rows[7] = Row('n7', 2, b'b')
    assert decoder.read(rows).count('b') == 1
    assert decoded[201:] == ['n7']
    # A row that was removed and added again is decoded again, since the same
    # version may have other content then.
    assert decoder.read(rows[1:]) == decoder.read(rows)[1:]
    assert decoded[202:] == ['n0']


def test_row_on_which_the_decoder_fails() -> None:
    """One such entry stopped the following of all entries for good."""
    decoded: list[str] = []

    def decode(row: Row) -> Result[str, str]:
        decoded.append(row.key)
        if row.key == 'odd':
            raise RecursionError('x' * 5000)
        return Ok(row.key)

    log = builders.log()
    decoder = RowDecoder(decode, 'unreadable', log)
    rows = [Row('a', 1, b''), Row('odd', 1, b''), Row('z', 1, b'')]
    assert decoder.read(rows) == ['a', 'z']
    assert decoder.read(rows) == ['a', 'z']
    # Once for each version, with a short reason.
    assert decoded == ['a', 'odd', 'z']
    assert len(log.lines) == 1
    assert b'RecursionError' in log.lines[0].text
    assert len(log.lines[0].text) < 500
