"""Convert parts of the folded state to the documents of the operators' port."""

from collections import Counter

from comfreywharf.daemon.operating.documents import (
    ConfigDocument,
    EvacuationDocument,
    NodeDocument,
    OwnerDocument,
    ServiceDocument,
    VersionDocument,
)
from comfreywharf.declarations import differences, service_to_fields
from comfreywharf.membership.evacuations import evacuated_members, evacuated_slices
from comfreywharf.records import changes_since

__all__ = [
    "changed_since",
    "config_document",
    "configuration_at",
    "evacuation_documents",
    "node_documents",
    "owner_document",
    "service_documents",
    "version_documents",
]


def node_documents(state):
    """Return a `NodeDocument` for each node, by id."""
    owned, standby, awaited = Counter(), Counter(), Counter()
    for slice_map in state.slices.values():
        owned.update(slice_.owner for slice_ in slice_map.slices)
        standby.update(slice_.standby for slice_ in slice_map.slices)
        awaited.update(slice_.previous for slice_ in slice_map.slices)
    return [
        NodeDocument(
            node_id=member.node_id,
            host=member.host,
            caller_port=member.caller_port,
            peer_port=member.peer_port,
            operator_port=member.operator_port,
            failure_domain=member.failure_domain,
            region=member.region,
            service=member.service,
            incarnation=member.incarnation,
            draining=member.draining,
            owned_slices=owned[member.node_id],
            standby_slices=standby[member.node_id],
            awaited_slices=awaited[member.node_id],
            lease_epoch=member.lease_epoch,
            checks_fences=member.checks_fences,
        )
        for _, member in sorted(state.members.items())
    ]


def evacuation_documents(state, evacuations, now_s):
    """Return an `EvacuationDocument` for each evacuated domain, by name."""
    documents = []
    for domain in sorted(evacuations.domains):
        nodes = evacuated_members(state, {domain})
        slices = evacuated_slices(state, {domain})
        owned = sum(slice_.owner in nodes for slice_ in slices)
        documents.append(
            EvacuationDocument(
                domain=domain,
                version=evacuations.version,
                closes_in_ms=int(evacuations.closes_in_s(domain, now_s) * 1000),
                nodes=len(nodes),
                owned_slices=owned,
                unreleased_slices=len(slices) - owned,
            )
        )
    return documents


def service_documents(state):
    """Return a `ServiceDocument` for each declared service, by name."""
    return [
        _service_document(state, service)
        for _, service in sorted(state.config.services.items())
    ]


def _service_document(state, service):
    members = [m for m in state.members.values() if m.service == service.name]
    slices = []
    if service.divided_by_key and service.name in state.slices:
        slices = state.slices[service.name].slices
    return ServiceDocument(
        name=service.name,
        divided_by_key=service.divided_by_key,
        nodes=len(members),
        draining_nodes=sum(member.draining for member in members),
        slices=len(slices),
        unowned_slices=sum(not slice_.owner for slice_ in slices),
        moving_slices=sum(bool(slice_.previous) for slice_ in slices),
        without_standby=sum(not slice_.standby for slice_ in slices),
    )


def owner_document(state, reasons, service, key_hash):
    """Return the `OwnerDocument` of a hash, or ``None`` if no slice contains it."""
    slice_ = state.slice_at(service, key_hash)
    if slice_ is None:
        return None
    return OwnerDocument(
        service=service,
        key_hash=key_hash,
        slice_start=slice_.start,
        slice_end=slice_.end,
        owner=slice_.owner,
        owner_domain=_domain(state, slice_.owner),
        standby=slice_.standby,
        standby_domain=_domain(state, slice_.standby),
        previous=slice_.previous,
        since_offset=slice_.epoch,
        fence=state.fence(slice_),
        config_version=_version_at(state, slice_.epoch),
        reason=reasons.text(service, slice_),
    )


def _domain(state, node_id):
    member = state.members.get(node_id)
    return member.failure_domain if member else ""


def _version_at(state, offset):
    """Return the configuration version in force at an offset; -1 if unknown."""
    for config in [state.config, *reversed(state.config_history)]:
        if config.offset <= offset:
            return config.version
    return -1


def configuration_at(state, version):
    """Return the `Configuration` of a version, or ``None`` if it isn't kept."""
    for config in [state.config, *reversed(state.config_history)]:
        if config.version == version:
            return config
    return None


def config_document(config):
    """Return a `Configuration` as a document."""
    return ConfigDocument(
        version=config.version,
        offset=config.offset,
        author=config.author,
        note=config.note,
        services={
            name: service_to_fields(service)
            for name, service in sorted(config.services.items())
        },
    )


def version_documents(state):
    """Return a `VersionDocument` for each kept version but the oldest, newest first."""
    kept = [*state.config_history, state.config]
    documents = []
    for earlier, later in zip(kept, kept[1:], strict=False):
        documents.append(
            VersionDocument(
                version=later.version,
                offset=later.offset,
                author=later.author,
                note=later.note,
                changes=_difference_lines(earlier.services, later.services),
            )
        )
    return documents[::-1]


def changed_since(state, version):
    """Return lines that list the versions since ``version``, and then the changes."""
    since = changes_since(state, version)
    if not since.known:
        return (f"version {version} is not kept; compare with the one in force",)
    notes = tuple(
        f"version {entry.version} by {entry.author}: {entry.note}".removesuffix(": ")
        for entry in since.versions
    )
    before = {change.name: change.before for change in since.changes if change.before}
    after = {change.name: change.after for change in since.changes if change.after}
    return notes + _difference_lines(before, after)


def _difference_lines(before, after):
    found = differences(before, after)
    return tuple(line for difference in found for line in difference.lines())
