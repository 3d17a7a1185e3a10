"""Guards against invalid manifests that pass validation."""

import json

from bronzeglade import manifest as manifests
from fleet.deployments import DEPLOYMENTS, manifest


def test_examples_are_valid() -> None:
    """The example manifests must pass validation."""
    for deployment in DEPLOYMENTS.values():
        _manifest, errors = manifests.parse(json.dumps(manifest(deployment)))
        assert not errors


def test_every_error_is_reported_with_its_path() -> None:
    """The check must not stop at the first error."""
    document = manifest(DEPLOYMENTS['brolga'])
    document['teams'][0]['rank'] = 'royal'
    document['routes'][0]['steps'][0]['model'] = 'nothing'
    parsed, errors = manifests.parse(json.dumps(document))
    assert parsed is None
    assert errors == [
        "teams.0.rank: no rank 'royal'",
        "routes.0.steps.0.model: no model 'nothing'",
    ]


def test_unknown_fields_are_errors() -> None:
    """A misspelt field must not be ignored: its rule would be void."""
    document = manifest(DEPLOYMENTS['brolga'])
    document['modles'] = []
    parsed, errors = manifests.parse(json.dumps(document))
    assert parsed is None
    assert errors == ['modles: Extra inputs are not permitted']
