"""A gateway that starts while the store is back from a copy accepts a key that was taken away.

Two gateways run. A new configuration takes a key away, and clients with that key get 401. More than
RevokeMs later the store is away for a moment and comes back from a copy that was made just before, in
the next era; two seconds later the operator has written the configuration again. One of the gateways is
stopped and started again meanwhile, as planned work. The other one keeps the newer configuration and
tells it to others. The rule CONFIG holds if no request with the key runs that was sent later than
RevokeMs after the acknowledgement. With RESTART=0 no gateway is stopped.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig  # noqa: E402

REVOKE_S = 5.0
REWRITTEN_AFTER_S = 2.0
DEADLINE_MS = 1500
OTHER_KEY = "key-of-blue"


def configuration(version, keys):
    document = rig.configuration([rig.route("bills", "/bills/", "desk")], ["desk"], version)
    document["Tenants"] = [
        {"Name": rig.TENANT, "ApiKeys": keys, "Priority": 1},
        {"Name": "blue", "ApiKeys": [OTHER_KEY], "Priority": 1},
    ]
    return document


class Case:
    def __init__(self, record):
        self.record = record
        self.sent, self.ran, self.ends = {}, [], {}

    async def run(self, replica, request, writer):
        name = request.headers["request-id"]
        if name.startswith("r"):
            self.ran.append(name)
            self.record(f"{replica.name} runs {name} for {request.headers.get('tenant')}")
        writer.write(rig.response(200, b"x" * 800, replica.headers(request)))

    async def send(self, gateway, name):
        self.sent[name] = self.record.now()
        try:
            status, *_ = await rig.fetch(
                gateway.port, "GET", "/bills/1", rig.client_headers(name, DEADLINE_MS), timeout=2
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        if self.ends.get(gateway.name) != status:
            self.record(f"{name} and the next ones at {gateway.name}, key taken away: {status}")
            self.ends[gateway.name] = status

    async def keep_sending(self, gateways):
        number, tasks = 0, set()
        while True:
            for gateway in gateways:
                task = asyncio.create_task(self.send(gateway, f"r{number}"))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1
            await asyncio.sleep(0.1)


async def case(record, folder, trouble):
    state = Case(record)
    store = rig.Store(record)
    await store.start()
    replicas = [rig.Replica(store, record, f"i-{n}", "desk", state.run) for n in (1, 2)]
    for replica in replicas:
        await replica.start()
    store.write("op", "config", configuration(1, [rig.KEY]))
    gateways = [rig.Gateway(store, record, folder, number) for number in (1, 2)]
    sending = None
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(6)
        copy = store.copy()
        record("the copy is made")
        await asyncio.sleep(0.5)
        newer = configuration(2, [])
        store.write("op", "config", newer)
        acknowledged = record.now()
        record("version 2 is acknowledged; it takes the key away")
        sending = asyncio.create_task(state.keep_sending(gateways))
        await asyncio.sleep(3)
        restarts = os.environ.get("RESTART") != "0"
        if restarts:
            gateways[1].signal(signal.SIGTERM)
            await asyncio.wait_for(gateways[1].process.wait(), 8)
            record(f"{gateways[1].name} has exited")
        await asyncio.sleep(max(0, acknowledged + REVOKE_S + 0.5 - record.now()))
        if trouble:
            await store.come_back(copy, 0.3)
        if restarts:
            await gateways[1].start()
        await asyncio.sleep(REWRITTEN_AFTER_S)
        if trouble:
            store.write("op", "config", newer)
            record("the operator has written version 2 again")
        await asyncio.sleep(5)
        late = [name for name in state.ran if state.sent[name] > acknowledged + REVOKE_S]
        record(f"run with the key, sent later than RevokeMs after the acknowledgement: {len(late)}")
        return not late
    finally:
        if sending:
            sending.cancel()
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            replica.crash()


rig.main(case, FOLDER)
