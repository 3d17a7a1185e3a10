"""Guards against invalid manifests that pass validation."""

import json

from bronzeglade import manifest as manifests
from fleet.deployments import DEPLOYMENTS, manifest


def test_examples_are_valid() -> None:
    """An example that the check rejects is unusable for newcomers."""
    for deployment in DEPLOYMENTS.values():
        _manifest, errors = manifests.parse(json.dumps(manifest(deployment)))
        assert not errors


def test_every_error_is_reported_with_its_path() -> None:
    """A check that stops at the first error hides the others."""
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
    """A misspelt field that is ignored leaves its rule without effect."""
    document = manifest(DEPLOYMENTS['brolga'])
    document['modles'] = []
    parsed, errors = manifests.parse(json.dumps(document))
    assert parsed is None
    assert errors == ['modles: Extra inputs are not permitted']
