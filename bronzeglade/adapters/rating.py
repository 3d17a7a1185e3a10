"""Client of the rating service.

Its ratings are noisy and late, and the service is sometimes unavailable.
"""

import dataclasses
import datetime as dt
import json
from collections.abc import Sequence
from typing import Any, Protocol

import pydantic as pd
import urllib3
from result import Err, Ok, Result

from bronzeglade.adapters import transport

_HTTP_OK = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A complete answer, with the prompt messages and the model version."""

    prompt: Sequence[Any]
    answer: str
    model: str
    version: str


class RatingDocument(pd.BaseModel):
    """The reply of the rating service."""

    rating: float = pd.Field(ge=0, le=1)


class RatingService(Protocol):
    """Rates answers from 0 (worst) to 1 (best)."""

    def rate(self, sample: Sample, limit: dt.timedelta) -> Result[float, str]:
        """Return the rating of an answer, or the error."""


class HttpRatingService:
    """Client of the rating service's HTTP interface: POST /rate."""

    def __init__(self, url: str, pool: urllib3.PoolManager) -> None:
        """Create a client.

        Args:
          url: base URL of the service.
          pool: connections to use.
        """
        self.url = url
        self.pool = pool

    def rate(self, sample: Sample, limit: dt.timedelta) -> Result[float, str]:
        """Rate an answer.

        Args:
          sample: the answer to rate.
          limit: time limit of the call.

        Returns:
          The rating, or the error.
        """
        reply = transport.call(
            self.pool,
            'POST',
            f'{self.url}/rate',
            limit,
            json.dumps(dataclasses.asdict(sample)).encode(),
            {'Content-Type': 'application/json'},
        )
        if isinstance(reply, Err):
            return Err(reply.err_value.detail)
        if reply.ok_value.status != _HTTP_OK:
            return Err(f'status {reply.ok_value.status}')
        try:
            document = RatingDocument.model_validate_json(reply.ok_value.body)
        except pd.ValidationError as error:
            return Err(str(error.errors()[0]['msg']))
        return Ok(document.rating)


class NoRatings:
    """Stands in for the rating service where a deployment has none."""

    def rate(self, sample: Sample, limit: dt.timedelta) -> Result[float, str]:
        """Return an error for every answer."""
        return Err('no rating service configured')
