"""CONFIG: all hosts are killed while the store is restored from a copy that has a withdrawn key."""

import asyncio
import os
import signal
import time

import lab

HOSTS = 5
REVOKE_S = 5.0  # RevokeMs
KEY = [("Authorization", "Bearer key-old")]


async def case(record, temp, cleanups):
    store = lab.Store()
    await store.listen()
    services = [{"Name": "orders-app", "HealthPath": "/health", "MaxConns": 110}]
    routes = [lab.route("order-commit", "unsafe", "orders-app", 1000, attempts=1)]

    def configure(version, keys):
        store.put("op/config", lab.config(version, routes, services, [{"Name": "one", "ApiKeys": keys}]))

    configure(1, ["key-old", "key-new"])
    replicas = [lab.Replica(record, store, f"i-{n}", "orders-app") for n in range(3)]
    for r in replicas:
        await r.start()
    fleet = lab.Fleet(record, store, HOSTS, temp)
    cleanups.append(fleet.close)
    for i in range(HOSTS):
        fleet.start(i)
    await fleet.ready()
    await asyncio.sleep(3)
    copy = store.copy()
    record("the copy is made that the store will be restored from")
    await asyncio.sleep(1)
    configure(2, ["key-new"])
    ack = time.monotonic()
    record("version 2 is acknowledged: key-old is taken away")
    sent = []

    async def ask(seconds):
        """Each host gets a request with the withdrawn key ten times a second."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for i in range(HOSTS):
                ident = f"order-{len(sent)}"
                sent.append((ident, time.monotonic()))
                asyncio.get_running_loop().create_task(one(i, ident))
            await asyncio.sleep(0.1)

    async def one(i, ident):
        a = await lab.send(fleet.front(i), "POST", "/order-commit/1", ident, KEY, deadline_ms=1000)
        record(f"{ident} with key-old at {fleet.ips[i]}: {a}")

    await ask(6)
    store.down = True
    record("the store is away")
    if lab.TROUBLE:
        for i in range(HOSTS):
            fleet.signal(i, signal.SIGKILL)
    await ask(1)
    store.restore(copy)
    store.down = False
    record("the store is back, from the copy")
    if lab.TROUBLE:
        for i in range(HOSTS):
            fleet.start(i)
    # What the replicas and the operator wrote is written again.
    await ask(0.5)
    for r in replicas:
        r.register()
    await ask(1)
    configure(2, ["key-new"])
    record("the operator has written version 2 again")
    await ask(3)
    await asyncio.sleep(1)
    runs = {ident for r in replicas for ident, *_ in r.runs}
    late = [i for i, at in sent if at > ack + REVOKE_S and i in runs]
    record(f"sent with key-old: {len(sent)}; run: {len(runs)}; sent later than {REVOKE_S} s after the ack that "
           f"took the key away, and run: {len(late)}")
    return bool(late)


lab.run(os.path.dirname(os.path.abspath(__file__)), case)
