"""One of two replicas is in need and takes no requests: it names Server-Limit 0. The other one is sound
and answers part of the lookups with its own 500, as it always does."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import rig  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MACHINES = 4
TIMEOUT_MS = 2000
DEADLINE_MS = 4000
ROUNDS = 100
# Each eighth lookup fails; the site file has a share of errors of 0.14.
FAILS_EACH = 8


async def case(record, work_folder, machines, trouble):
    store = rig.Store(record)
    await store.start()
    routes = [rig.route("lookup", "idempotent", "billing", timeout_ms=TIMEOUT_MS, attempts=2)]
    store.put("op", "config", rig.configuration(7, routes, ["billing"], {"startup-1": ["key-a"]}))
    in_need = False
    arrivals = 0

    async def behave(replica, request, writer):
        nonlocal arrivals
        limit = "Server-Limit: 0\r\n" if in_need and replica.name == "i-0" else ""
        replica.begin(request)
        await asyncio.sleep(0.01)
        arrivals += replica.name == "i-1"
        fails = replica.name == "i-1" and arrivals % FAILS_EACH == 0
        status = "500 Internal Server Error" if fails else "200 OK"
        body = b"failed" if fails else b"account"
        writer.write((replica.head(request, status, limit)
                      + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        await writer.drain()
        return True

    replicas = [rig.Replica(f"i-{n}", "billing", record, store, behave) for n in range(2)]
    for replica in replicas:
        await replica.start()
    for number in range(MACHINES):
        machine = rig.Machine(f"edge-{number}", store, record, work_folder)
        machines.append(machine)
        machine.start()
    for machine in machines:
        await machine.wait_ready()
    await asyncio.sleep(15)

    lost, answered = [], []

    async def client(machine):
        connection = None
        for number in range(ROUNDS):
            kept = connection is not None
            if not kept:
                connection = await asyncio.open_connection("127.0.0.1", machine.port)
            reader, writer = connection
            name = f"{machine.name}-{number:03d}"
            started = record.now()
            writer.write(rig.encode_request("GET", "/lookup/x", {
                "Request-Id": name, "Deadline-Ms": DEADLINE_MS, "Authorization": "Token key-a"}))
            try:
                answer = await asyncio.wait_for(rig.read_answer(reader), DEADLINE_MS / 1000)
            except (OSError, asyncio.TimeoutError) as error:
                answer = rig.Answer()
                answer.error = f"no answer: {type(error).__name__}"
            took = record.now() - started
            record.line(f"client: {name} on a {'kept' if kept else 'new'} connection: "
                        f"{answer.status or answer.error} after {took:.3f} s")
            if answer.status is None:
                if kept and answer.error.startswith("closed"):
                    lost.append(name)
                writer.close()
                connection = None
            else:
                answered.append((name, answer.status))
            await asyncio.sleep(0.15)
        if connection:
            connection[1].close()

    in_need = trouble
    if trouble:
        record.line("replica i-0 is in need and takes no requests")
    await asyncio.gather(*(client(machine) for machine in machines))
    if not any(status == 200 for _, status in answered):
        raise rig.CannotRun("nothing was served")
    ran_at_sound = {name for name, *_ in replicas[1].runs}
    broken = [name for name in lost if name in ran_at_sound]
    record.line(f"{len(answered)} requests were answered; {len(lost)} kept connections were closed without "
                f"an answer, {len(broken)} of them after the request had been passed on to i-1")
    if len(broken) > 3:
        return [f"LOST: {len(broken)} requests from kept connections were passed on to the sound replica, and "
                f"their connections closed without an answer: {' '.join(broken)}"]
    return []


rig.run(FOLDER, case, TROUBLE)
