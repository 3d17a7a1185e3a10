"""Billing records and their MessagePack encoding."""

import dataclasses
import datetime as dt
from collections.abc import Iterable, Sequence

import msgpack


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bill:
    """Billing record of one request of a team.

    `cost` is in nano-dollars: tokens times the manifest's price in
    micro-dollars per 1,000 tokens, which keeps it an integer. `whole` is false
    when the caller disconnected before the answer was complete.
    """

    request_id: str
    team: str
    rank: str
    model: str
    version: str
    usage: Usage
    cost: int
    whole: bool
    finished_at: dt.datetime


def cost_of(usage: Usage, prompt_price: int, completion_price: int) -> int:
    """Return the cost of a request in nano-dollars.

    Args:
      usage: token counts of the request.
      prompt_price: micro-dollars per 1,000 prompt tokens.
      completion_price: micro-dollars per 1,000 completion tokens.
    """
    return (
        usage.prompt_tokens * prompt_price
        + usage.completion_tokens * completion_price
    )


def encode(bills: Iterable[Bill]) -> bytes:
    """Encode records as one MessagePack document."""
    return join([pack(bill) for bill in bills])


def join(records: Sequence[bytes]) -> bytes:
    """Join packed records into one MessagePack document.

    Args:
      records: records encoded by `pack`, in order.
    """
    header: bytes = msgpack.Packer().pack_array_header(len(records))
    return header + b''.join(records)


def pack(bill: Bill) -> bytes:
    """Encode a record as an element of the array that `join` builds."""
    packed: bytes = msgpack.packb(_fields(bill))
    return packed


def _fields(bill: Bill) -> list[object]:
    return [
        bill.request_id,
        bill.team,
        bill.rank,
        bill.model,
        bill.version,
        bill.usage.prompt_tokens,
        bill.usage.completion_tokens,
        bill.cost,
        bill.whole,
        bill.finished_at.timestamp(),
    ]


def decode(document: bytes) -> list[Bill]:
    """Decode a MessagePack document made by `encode` or `join`."""
    return [
        Bill(
            request_id=entry[0],
            team=entry[1],
            rank=entry[2],
            model=entry[3],
            version=entry[4],
            usage=Usage(entry[5], entry[6]),
            cost=entry[7],
            whole=entry[8],
            finished_at=dt.datetime.fromtimestamp(entry[9], dt.UTC),
        )
        for entry in msgpack.unpackb(document)
    ]
