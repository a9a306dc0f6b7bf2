"""The configuration grows by many routes, as in day.toml. Each machine reaches the store over a link of
10 Mbit/s, which a proxy stands for. It grows in five versions, and with
the last one a public route moves to another service."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LINK_MBPS = 10
CONFIG_APPLY_S = 3
# The largest count of the site file, and how often it comes.
MORE_ROUTES = 1864
VERSIONS = 5
LENGTH_S = 25


async def case(record, work_folder, machines, trouble):
    store = rig.Store(record)
    await store.start()

    def write(version, service, more):
        routes = [rig.route("lookup", "idempotent", service, Public=True),
                  rig.route("credit", "non_idempotent", "billing")]
        routes += [rig.route(f"r{number:06d}", "idempotent", "billing") for number in range(more)]
        document = rig.configuration(version, routes, ["billing", "billing-new"],
                                     {"startup-1": ["key-a"]})
        store.put("op", "config", document)
        record.line(f"operator: version {version} is acknowledged: {len(routes)} routes, /lookup/ "
                    f"goes to {service}")
        return record.now()

    write(7, "billing", 14)
    replicas = [rig.Replica(f"i-{service}-{n}", service, record, store)
                for service in ("billing", "billing-new") for n in range(2)]
    for replica in replicas:
        await replica.start()
    for number in range(3):
        link = rig.SlowLink(store.address, LINK_MBPS)
        await link.start()
        machine = rig.Machine(f"edge-{number}", store, record, work_folder, link=link)
        machines.append(machine)
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(3)
    sent = []

    async def send(machine, path, headers):
        name, at = f"r{len(sent):05d}", record.now()
        sent.append((name, path, at))
        answer = await rig.request(machine.port, "POST", path,
                                   {"Request-Id": name, "Deadline-Ms": 4000, **headers}, b"", 4)
        record.line(f"client: {name} {path} to {machine.name}: {answer.status or answer.error}")
        return answer.status

    key = {"Authorization": "Token key-a"}
    for machine in machines:
        if await send(machine, "/lookup/x", {}) != 200 or await send(machine, "/credit/x", key) != 200:
            raise rig.CannotRun("no service at the start")
    for number in range(1, VERSIONS):
        if trouble:
            write(7 + number, "billing", 14 + number * MORE_ROUTES)
        await asyncio.sleep(0.5)
    more = VERSIONS * MORE_ROUTES if trouble else 0
    acked_at = write(7 + VERSIONS, "billing-new", 14 + more)
    while record.now() < acked_at + LENGTH_S:
        for machine in machines:
            await send(machine, "/lookup/x", {})
            await send(machine, "/credit/x", key)
        await asyncio.sleep(0.3)

    ran_by = {name: replica.service for replica in replicas for name, *_ in replica.runs}
    old = [(name, at - acked_at) for name, path, at in sent
           if path == "/lookup/x" and at > acked_at + CONFIG_APPLY_S and ran_by.get(name) == "billing"]
    late = [name for name, path, at in sent if path == "/credit/x" and at > acked_at + 10]
    record.line(f"{sum(name in ran_by for name in late)} of the {len(late)} requests with a key that were "
                "sent later than 10 s after the acknowledgement ran")
    if not old:
        return []
    return [f"CONFIG: {len(old)} requests that were sent 3 s and more after the acknowledgement ran at the "
            f"old service, the last one {old[-1][1]:.1f} s after it"]


rig.run(FOLDER, case, TROUBLE)
