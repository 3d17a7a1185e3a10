"""Profile of the tests: the same examples in every run."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('fixed')
