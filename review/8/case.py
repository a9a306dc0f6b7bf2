"""With one machine gone for good, replicas with limits get no request for a minute after a final fault.

Three gateways run before three replicas, each of which names a Server-Limit that is twice what all
gateways send to it. One gateway is gone for good; the others go on serving everything. Six seconds later
all processes are killed, and those of the two machines that are left start again after a second. The
rule RECOVER holds if a quarter of the requests is served that are sent later than RecoverS after that.

With LIMIT=0 the replicas name no limit, and with GONE=0 no gateway is gone for good; both show what is
needed.
"""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig  # noqa: E402

RECOVER_S = 12.0
JUDGED_S = 20.0
REQUESTS_PER_S = 10
LIMIT_PER_S = "7"
DEADLINE_MS = 1500


class Case:
    def __init__(self, record):
        self.record = record
        self.names_limit = os.environ.get("LIMIT") != "0"
        self.ends = []

    async def run(self, replica, request, writer):
        headers = replica.headers(request)
        if self.names_limit:
            headers.append(("Server-Limit", LIMIT_PER_S))
        await asyncio.sleep(0.02)
        writer.write(rig.response(200, b"x" * 800, headers))

    async def send(self, gateways, number):
        """Sends a request, and once more at another gateway when it is told to come back."""
        sent = self.record.now()
        for attempt in (0, 1):
            gateway = gateways[(number + attempt) % len(gateways)]
            left = DEADLINE_MS / 1000 - (self.record.now() - sent)
            headers = rig.client_headers(f"r{number}-{attempt}", int(left * 1000))
            try:
                status, fields, _ = await rig.fetch(
                    gateway.port, "GET", "/bills/1", headers, timeout=left
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status, fields = type(error).__name__, {}
            if status == 200:
                break
            left = DEADLINE_MS / 1000 - (self.record.now() - sent)
            await asyncio.sleep(min(float(fields.get("retry-after", 0.05)), max(left / 3, 0)))
        self.ends.append((sent, status))

    async def keep_sending(self, gateways):
        number = 0
        while True:
            number += 1
            asyncio.create_task(self.send(gateways, number))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def served(self, since, until):
        """Share of the requests sent in a span that were served."""
        ends = [status for sent, status in self.ends if since <= sent < until]
        counts = {status: ends.count(status) for status in set(ends)}
        self.record(f"sent from {since:.1f} s to {until:.1f} s: {len(ends)}, {counts}")
        return counts.get(200, 0) / max(len(ends), 1)


async def case(record, folder, trouble):
    state = Case(record)
    store = rig.Store(record)
    await store.start()
    replicas = [rig.Replica(store, record, f"i-{n}", "desk", state.run) for n in (1, 2, 3)]
    for replica in replicas:
        await replica.start()
    store.write("op", "config", rig.configuration([rig.route("bills", "/bills/", "desk")], ["desk"]))
    gateways = [rig.Gateway(store, record, folder, number) for number in (1, 2, 3)]
    in_rotation = list(gateways)
    sending = None
    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        sending = asyncio.create_task(state.keep_sending(in_rotation))
        await asyncio.sleep(14)
        if trouble and os.environ.get("GONE") != "0":
            in_rotation.pop().signal(signal.SIGKILL)
            record("this gateway is gone for good")
        await asyncio.sleep(6)
        fault = record.now()
        before = state.served(fault - 6, fault - 2)
        if trouble:
            for gateway in in_rotation:
                gateway.signal(signal.SIGKILL)
                await gateway.process.wait()
            await asyncio.sleep(1)
            for gateway in in_rotation:
                await gateway.start()
        back = record.now()
        await asyncio.sleep(RECOVER_S + JUDGED_S + 3)
        state.served(back, back + RECOVER_S)
        after = state.served(back + RECOVER_S, back + RECOVER_S + JUDGED_S)
        record(f"served before the final fault: {before:.2f}; later than RecoverS after it: {after:.2f}")
        return before < 0.25 or after >= 0.25
    finally:
        if sending:
            sending.cancel()
        for gateway in gateways:
            await gateway.stop()
        for replica in replicas:
            replica.crash()


rig.main(case, FOLDER)
