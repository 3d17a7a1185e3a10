"""Stand-in of the rating service: noisy, late, sometimes unavailable."""

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


class Ratings:
    """Rates answers by the quality that their marker names."""

    def __init__(self, noise: float, delay_s: float) -> None:
        """Create the service.

        Args:
          noise: standard deviation of a rating.
          delay_s: seconds until a rating is given.
        """
        self.faults = Faults(outage=0, delay_s=delay_s, noise=noise)
        self.count = 0

    def rate(self, document: Mapping[str, Any]) -> Reply:
        """Rate `{prompt, answer, model, version}` from 0 to 1."""
        eventlet.sleep(self.faults.level('delay_s'))
        if self.faults.level('outage'):
            return 503, {'error': 'outage'}
        self.count += 1
        marker = answers.parse_marker(str(document.get('answer')))
        quality = marker.quality if marker else 0
        noise = self.faults.random.gauss(0, self.faults.level('noise'))
        return 200, {'rating': min(1, max(0, quality + noise))}

    def stats(self, _document: Mapping[str, Any]) -> Reply:
        """Return the number of ratings given."""
        return 200, {'rated': self.count}


def main() -> None:
    """Serve the ratings."""
    values = address_flags()
    flags.DEFINE_float(
        'noise', 0.05, 'Standard deviation of a rating.', flag_values=values
    )
    flags.DEFINE_float(
        'delay', 0.05, 'Seconds until a rating.', flag_values=values
    )
    parse_flags(values)
    ratings = Ratings(values.noise, values.delay)
    routes = {
        ('POST', '/rate'): ratings.rate,
        ('GET', '/stats'): ratings.stats,
    }
    application = json_application(routes, ratings.faults)
    serve(values.host, values.port, application)


if __name__ == '__main__':
    main()
