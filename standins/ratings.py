"""Stand-in for the rating service: noisy, slow, at times unavailable."""

from collections.abc import Mapping
from typing import Any

import eventlet
from absl import flags

from standins import answers
from standins.faults import Faults
from standins.web import (
    Reply,
    address_flags,
    json_application,
    parse_flags,
    serve,
)


class RatingService:
    """Rates answers by the quality in their marker, plus noise."""

    def __init__(self, noise: float, delay_s: float) -> None:
        """Create the service.

        Args:
          noise: standard deviation of a rating.
          delay_s: duration of a rating, in seconds.
        """
        self.faults = Faults(outage=0, delay_s=delay_s, noise=noise)
        self.rating_count = 0

    def rate(self, document: Mapping[str, Any]) -> Reply:
        """Rate the `answer` of a document from 0 to 1; 0 without a marker."""
        eventlet.sleep(self.faults.value_of('delay_s'))
        if self.faults.value_of('outage'):
            return 503, {'error': 'outage'}
        self.rating_count += 1
        marker = answers.parse_marker(str(document.get('answer')))
        quality = marker.quality if marker else 0
        noise = self.faults.rng.gauss(0, self.faults.value_of('noise'))
        return 200, {'rating': min(1, max(0, quality + noise))}

    def stats(self, _document: Mapping[str, Any]) -> Reply:
        """Return the number of ratings since the start."""
        return 200, {'rated': self.rating_count}


def main() -> None:
    """Run the rating service process."""
    values = address_flags()
    flags.DEFINE_float(
        'noise', 0.05, 'Standard deviation of a rating.', flag_values=values
    )
    flags.DEFINE_float(
        'delay', 0.05, 'Duration of a rating in seconds.', flag_values=values
    )
    parse_flags(values)
    service = RatingService(values.noise, values.delay)
    routes = {
        ('POST', '/rate'): service.rate,
        ('GET', '/stats'): service.stats,
    }
    application = json_application(routes, service.faults)
    serve(values.host, values.port, application)


if __name__ == '__main__':
    main()
