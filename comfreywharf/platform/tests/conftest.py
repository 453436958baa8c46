"""The deployment of the tests of faults."""

import pytest

from comfreywharf.platform.tests.builders import Deployment


@pytest.fixture
def deployment(tmp_path):
    """Yield four nodes with their servers; all keys are held."""
    with Deployment(tmp_path) as started:
        yield started
