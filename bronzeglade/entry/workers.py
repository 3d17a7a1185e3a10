"""Live endpoints: the VM list joined with the manifest's endpoint groups."""

import dataclasses
from collections.abc import Iterable

from bronzeglade.adapters.vms import Vm, VmState
from bronzeglade.catalog import Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A live endpoint of a model or of a plain service.

    Attributes:
      vm: name of its VM.
      address: host and port.
      failure_domain: failure domain of its VM.
      group: name of its endpoint group.
      slots: number of requests that it runs at the same time.
      resumes_streams: whether it can resume a stream of another worker.
      model: model that it serves, if any.
      service: plain service that it serves, if any.
      versions: versions of the model that it may hold.
    """

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
      catalog: the active configuration.
      vms: the VM list; leaving VMs are excluded.
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
    """Return the workers whose group serves a version of a model."""
    return tuple(
        worker
        for worker in workers
        if worker.model == model and version in worker.versions
    )


def serving(workers: Iterable[Worker], service: str) -> tuple[Worker, ...]:
    """Return the endpoints of a plain service."""
    return tuple(worker for worker in workers if worker.service == service)


def failure_domain_delays(catalog: Catalog, home: str) -> dict[str, float]:
    """Return the one-way delay from this node to each failure domain, in s.

    Args:
      catalog: the active configuration.
      home: failure domain of this node.
    """
    domains = {
        domain.name: domain for domain in catalog.manifest.failure_domains
    }
    home_delay_ms = domains[home].one_way_ms if home in domains else 0
    return {
        name: 0
        if name == home
        else max(home_delay_ms, domain.one_way_ms) / 1000
        for name, domain in domains.items()
    }
