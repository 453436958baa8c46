"""Declarations are checked as a whole, and written in the format that is read."""

from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure

from comfreywharf.declarations import (
    Change,
    differences,
    make_patch,
    read_declarations,
    service_from_fields,
    service_to_fields,
    write_declarations,
)
from comfreywharf.declarations.fields import SERVICE_KEYS
from comfreywharf.declarations.tests.builders import configurations, services
from comfreywharf.records import ClusterState, ConfigPatched, ServiceConfig, fold
from comfreywharf.records.validation import check_service

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.fixture(scope="module")
def read(tmp_path_factory):
    path = tmp_path_factory.mktemp("declarations") / "services.ini"

    def read_text(text):
        path.write_text(text, encoding="utf-8")
        return read_declarations(path)

    return read_text


def test_every_field_can_be_declared():
    """A field that is added to a service needs a key, so that operators can set it."""
    fields = {field.name for field in attrs.fields(ServiceConfig)} - {"name"}
    assert {key.name for key in SERVICE_KEYS} == fields


@given(configurations(min_size=1))
@settings(derandomize=True, deadline=None)
def test_written_declarations_are_read_back_the_same(read, configuration):
    """Services that are written are read back the same."""
    assert read(write_declarations(configuration)).unwrap() == configuration


@given(services())
@settings(derandomize=True, deadline=None)
def test_the_fields_of_a_service_give_the_same_service(service):
    """Texts by key, as sent over the network, give the same service again."""
    texts = service_to_fields(service)
    assert service_from_fields(service.name, texts).unwrap() == service


@given(services())
@settings(derandomize=True, deadline=None)
def test_declared_service_is_accepted_by_the_fold(service):
    """A service that passes the check of a file is accepted by the fold."""
    assert not check_service(service)


@given(configurations(), configurations())
@settings(derandomize=True, deadline=None, max_examples=30)
def test_patch_leads_from_one_configuration_to_the_other(before, after):
    """Folding the patch over the earlier configuration gives the declared one."""
    state = ClusterState()
    for base, (earlier, later) in enumerate([({}, before), (before, after)]):
        patch = make_patch(earlier, later)
        record = ConfigPatched(
            record_id=str(base), base_version=base, services=patch, author="operator"
        )
        assert fold(state, state.next_offset, record).accepted
    assert state.config.services == after
    assert not differences(after, after)


@pytest.mark.parametrize("name, count", [("riga.ini", 2), ("ahmedabad.ini", 2)])
def test_examples_are_valid(name, count):
    """The example files declare the services of the two deployments."""
    assert len(read_declarations(EXAMPLES / name).unwrap()) == count


INVALID = """\
[service booking]
divided_by_keys = yes
slices = 0
default_timeout_ms = 6000
retry_fraction = 1.5
[services files]
[service two words]
[service media]
queue_length = nan
unavailable_weight = nan
max_body_bytes = 1 GB
"""


def test_all_findings_are_reported_together(read):
    """Each error is found, in the order of the lines, with a suggestion."""
    findings = read(INVALID).failure()
    assert [finding.line for finding in findings] == [2, 3, 4, 5, 6, 7, 9, 10, 11]
    assert "did you mean 'divided_by_key'" in findings[0].expected
    assert "longest_request_ms, which is 5000" in findings[2].expected


@given(
    st.sampled_from([key.name for key in SERVICE_KEYS] + ["name", "__class__"]),
    st.one_of(st.text(max_size=8), st.integers(), st.none(), st.lists(st.text())),
)
@settings(derandomize=True, deadline=None)
def test_fields_from_the_network_never_raise(key, value):
    """Any input from the network gives a service or a list of errors."""
    result = service_from_fields("booking", {key: value})
    if isinstance(result, Failure):
        assert all(
            "expected" in error or "at most" in error for error in result.failure()
        )
    else:
        assert service_to_fields(result.unwrap())[key]


def test_differences_are_shown_by_key():
    """Added, removed and changed services are distinguished."""
    before = {"a": ServiceConfig(name="a"), "b": ServiceConfig(name="b")}
    after = {"b": ServiceConfig(name="b", slices=8), "c": ServiceConfig(name="c")}
    found = differences(before, after)
    assert [d.change for d in found] == [Change.REMOVED, Change.CHANGED, Change.ADDED]
    assert list(found[1].lines()) == [
        "  [service b]",
        "-   slices = 64",
        "+   slices = 8",
    ]


def test_a_key_that_earlier_builds_lack_is_only_written_with_a_value():
    """Guards against declarations of the new tool that nodes of the build before
    refuse."""
    assert "longest_lease_ms" not in service_to_fields(ServiceConfig(name="booking"))
    service = ServiceConfig(name="booking", longest_lease_ms=4000)
    fields = service_to_fields(service)
    assert fields["longest_lease_ms"] == "4000"
    assert service_from_fields("booking", fields).unwrap() == service
