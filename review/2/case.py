"""Two of three machines are stopped and started again, as in a rolling restart. The replicas are sound;
a credit takes them 1.5 s, which is well inside the route's TimeoutMs and the client's deadline."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORK_S = 1.5
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
GRACE_S = 8
STOPPED = 2
RATE_PER_S = 15


async def work(replica, request, writer):
    replica.begin(request)
    await asyncio.sleep(WORK_S)
    body = b"credit entered"
    writer.write((replica.head(request) + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    await writer.drain()
    return True


class Balancer:
    """The platform's entry address: readiness once a second, out after two misses, in again after one
    200; all nodes of the zone if fewer than half of them are in rotation."""

    def __init__(self, machines, record):
        self.machines, self.record = machines, record
        self.misses = {m.name: 0 for m in machines}
        self.turn = 0

    async def check(self, machine):
        while True:
            ready = await machine.is_ready()
            before = self.misses[machine.name]
            self.misses[machine.name] = 0 if ready else before + 1
            if not ready and before == 1:
                self.record.line(f"balancer: {machine.name} is out of rotation")
            if ready and before >= 2:
                self.record.line(f"balancer: {machine.name} is in rotation again")
            await asyncio.sleep(1)

    def choose(self):
        rotation = [m for m in self.machines if self.misses[m.name] < 2]
        nodes = rotation if 2 * len(rotation) >= len(self.machines) else self.machines
        self.turn += 1
        return nodes[self.turn % len(nodes)]


async def case(record, work_folder, machines, trouble):
    store = rig.Store(record)
    await store.start()
    routes = [rig.route("credit", "non_idempotent", "billing", timeout_ms=TIMEOUT_MS)]
    store.put("op", "config", rig.configuration(7, routes, ["billing"], {"startup-1": ["key-a"]}))
    replicas = [rig.Replica(f"i-{n}", "billing", record, store, work) for n in range(3)]
    for replica in replicas:
        await replica.start()
    for number in range(3):
        machine = rig.Machine(f"edge-{number}", store, record, work_folder, GraceS=GRACE_S)
        machines.append(machine)
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    balancer = Balancer(machines, record)
    checks = [asyncio.create_task(balancer.check(machine)) for machine in machines]
    await asyncio.sleep(3)

    stopped_at = {}
    sent = []

    async def send(number):
        machine = balancer.choose()
        name, at = f"r{number:05d}", record.now()
        answer = await rig.request(machine.port, "POST", "/credit/lodge", {
            "Request-Id": name, "Deadline-Ms": DEADLINE_MS, "Authorization": "Token key-a"}, b"credit",
            DEADLINE_MS / 1000)
        took = record.now() - at
        since = at - stopped_at[machine.name] if machine.name in stopped_at else None
        record.line(f"client: {name} to {machine.name}"
                    + (f", {since:.2f} s after its SIGTERM" if since is not None else "")
                    + f": {answer.status or answer.error} after {took:.2f} s")
        sent.append((name, since, took, answer))

    async def restart(machine):
        stopped_at[machine.name] = record.now()
        machine.signal(signal.SIGTERM)
        deadline = record.now() + GRACE_S
        while machine.process.poll() is None and record.now() < deadline:
            await asyncio.sleep(0.02)
        record.line(f"machine {machine.name} exited with {machine.process.poll()}")
        machine.kill()
        await asyncio.sleep(0.3)
        machine.start()

    tasks = []
    for number in range(RATE_PER_S * 16):
        if trouble and number == RATE_PER_S * 3:
            tasks += [asyncio.create_task(restart(machine)) for machine in machines[:STOPPED]]
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*tasks)
    for check in checks:
        check.cancel()

    ran = {name for replica in replicas for name, *_ in replica.runs}
    broken = []
    for name, since, took, answer in sent:
        is_planned = since is not None and since <= GRACE_S + 1
        # Sent no later than 3 s after the SIGTERM: the replica may have been at work in the last
        # sixth of GraceS, which the rule excuses.
        is_excused = since is not None and since <= 3
        if trouble and (not is_planned or is_excused):
            continue
        has_time = took < TIMEOUT_MS / 1000 - 0.2
        if name in ran and not answer.complete and has_time:
            when = f" sent {since:.2f} s after the SIGTERM" if since is not None else ""
            broken.append(f"LOST: {name}{when} was passed on and ran; its connection ended without an "
                          f"answer after {took:.2f} s")
    if not any(answer.status == 200 for *_, answer in sent):
        raise rig.CannotRun("nothing was served")
    return broken


rig.run(FOLDER, case, TROUBLE)
