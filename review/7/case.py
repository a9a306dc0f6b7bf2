"""A request that crashes each replica that runs it, after the head of its answer, is sent on for ever.

A service has three replicas. One caller sends the same idempotent request again and again, at two
gateways by turns. Each replica that runs it crashes once it has written the head of its answer and
the first half of the body, and is back three seconds later. Others send sound requests, which take 50
ms each. The rule BUDGET holds if the request reaches replicas at most three times later than
ContactMs after it has crashed the third one.

With CRASH=early the replicas crash before they write anything; this shows what the gateways do then.
"""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig  # noqa: E402

CONTACT_S = 3.0
BACK_S = 3.0
LENGTH_S = 36.0
POISON_EVERY_S = 1.0
SOUND_EVERY_S = 0.1
DEADLINE_MS = 1500
POISON_BODY = b'{"roster": 7}'


class Case:
    def __init__(self, record, trouble):
        self.record, self.trouble = record, trouble
        self.is_early = os.environ.get("CRASH") == "early"
        self.arrivals, self.crashes = [], []
        self.poison_ends, self.sound_ends, self.cut = {}, {}, 0
        self.running = {}

    async def run(self, replica, request, writer):
        name = request.headers["request-id"]
        if request.path != "/roster/7":
            self.running.setdefault(replica, set()).add(name)
            try:
                await asyncio.sleep(0.05)
                writer.write(rig.response(200, b"y" * 800, replica.headers(request)))
            finally:
                self.running[replica].discard(name)
            return None
        self.arrivals.append(self.record.now())
        self.record(f"{name} reaches {replica.name}, which begins to run it")
        await asyncio.sleep(0.015)
        whole = rig.response(200, b"x" * 800, replica.headers(request))
        if not self.trouble:
            writer.write(whole)
            return None
        if not self.is_early:
            writer.write(whole[:-400])
            await writer.drain()
            await asyncio.sleep(0.005)
        lost = len(self.running.get(replica, ()))
        self.cut += lost
        self.crashes.append(self.record.now())
        self.record(f"{replica.name} crashes with {name}; it was running {lost} sound requests")
        asyncio.create_task(self.come_back(replica))
        replica.crash()
        return False

    async def come_back(self, replica):
        await asyncio.sleep(BACK_S)
        await replica.start()
        self.record(f"{replica.name} is back")

    async def send(self, gateway, name, path, method, body, ends):
        headers = rig.client_headers(name, DEADLINE_MS)
        try:
            status, *_ = await rig.fetch(gateway.port, method, path, headers, body, timeout=3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status = type(error).__name__
        ends[status] = ends.get(status, 0) + 1
        return status

    async def send_poison(self, gateways, end):
        number = 0
        while self.record.now() < end:
            gateway = gateways[number % len(gateways)]
            name = f"p{number}"
            status = await self.send(gateway, name, "/roster/7", "POST", POISON_BODY, self.poison_ends)
            self.record(f"{name} sent to {gateway.name}: {status}")
            number += 1
            await asyncio.sleep(POISON_EVERY_S)

    async def send_sound(self, gateways, end):
        number, tasks = 0, []
        while self.record.now() < end:
            gateway = gateways[number % len(gateways)]
            sending = self.send(
                gateway, f"s{number}", f"/post/{number}", "POST", b"{}", self.sound_ends
            )
            tasks.append(asyncio.create_task(sending))
            number += 1
            await asyncio.sleep(SOUND_EVERY_S)
        await asyncio.gather(*tasks)


async def case(record, folder, trouble):
    state = Case(record, trouble)
    store = rig.Store(record)
    await store.start()
    replicas = [
        rig.Replica(store, record, f"i-{n}", "registry", state.run, slots=6) for n in (1, 2, 3)
    ]
    for replica in replicas:
        await replica.start()
    routes = [
        rig.route("roster", "/roster/", "registry", timeout_ms=1500, attempts=2),
        rig.route("post", "/post/", "registry", "non_idempotent", timeout_ms=1500, attempts=1),
    ]
    store.write("op", "config", rig.configuration(routes, ["registry"]))
    gateways = [rig.Gateway(store, record, folder, number) for number in (1, 2)]
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        # The gateways are in touch from here on.
        await asyncio.sleep(4)
        end = record.now() + LENGTH_S
        await asyncio.gather(state.send_poison(gateways, end), state.send_sound(gateways, end))
        record(f"answers to the request that crashes replicas: {state.poison_ends}")
        record(f"answers to sound requests, which may run once: {state.sound_ends}")
        record(f"crashes: {len(state.crashes)}; sound requests that ran at their moment: {state.cut}")
        if len(state.crashes) < 3:
            return True
        since = state.crashes[2] + CONTACT_S
        late = [at for at in state.arrivals if at > since]
        record(f"third crash at {state.crashes[2]:.3f} s; arrivals later than {since:.3f} s: {len(late)}")
        return len(late) <= 3
    finally:
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            replica.crash()


rig.main(case, FOLDER)
