"""Guards that a change of one row does not decode a whole table again."""

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
