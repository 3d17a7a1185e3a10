"""Endpoints in use: the VM list joined with the manifest's groups."""

import dataclasses
from collections.abc import Iterable

from bronzeglade.adapters.vms import Vm, VmState
from bronzeglade.catalog import Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A live endpoint of a model or of a plain service."""

    vm: str
    address: str
    failure_domain: str
    group: str
    slots: int
    resumes_streams: bool
    model: str | None = None
    service: str | None = None
    versions: tuple[str, ...] = ()


def live_workers(catalog: Catalog, vms: Iterable[Vm]) -> tuple[Worker, ...]:
    """Return the endpoints that may receive new work.

    Args:
      catalog: the manifest in force.
      vms: the VM list; leaving VMs are left out.
    """
    workers: list[Worker] = []
    for vm in vms:
        group = catalog.groups.get(vm.group)
        if group is None or vm.state is VmState.LEAVING:
            continue
        workers.append(
            Worker(
                vm=vm.name,
                address=vm.address,
                failure_domain=vm.failure_domain,
                group=group.name,
                slots=group.slots,
                resumes_streams=group.resumes_streams,
                model=group.model,
                service=group.service,
                versions=group.versions,
            )
        )
    return tuple(workers)


def serving_model(
    workers: Iterable[Worker], model: str, version: str
) -> tuple[Worker, ...]:
    """Return the workers that hold a version of a model."""
    return tuple(
        worker
        for worker in workers
        if worker.model == model and version in worker.versions
    )


def serving(workers: Iterable[Worker], service: str) -> tuple[Worker, ...]:
    """Return the endpoints of a plain service."""
    return tuple(worker for worker in workers if worker.service == service)


def failure_domain_delays(catalog: Catalog, home: str) -> dict[str, float]:
    """Return the one-way delay to each failure domain in seconds.

    Args:
      catalog: the manifest in force.
      home: failure domain of this node.
    """
    domains = {one.name: one for one in catalog.manifest.failure_domains}
    own = domains[home].one_way_ms if home in domains else 0
    return {
        name: 0 if name == home else max(own, domain.one_way_ms) / 1000
        for name, domain in domains.items()
    }
