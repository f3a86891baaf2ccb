"""A revoked key stays in force once a tenant has a long key: see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness  # noqa: E402

ROUTES = [("a.example", "/book/", "non_idempotent", "bookings", 4000, 2)]
REVOKE_S = 5.0  # revoke-ms
MARGIN_S = 0.5
WATCHED_S = 8.0
SHORT_KEY = "new-gamma-key-0123456789"
# As long as a small signed token; max-header-bytes is 16,384.
LONG_KEY = "eyJhbGciOiJIUzI1NiJ9." + "p" * 240 + "." + "s" * 43


def tenants(alpha_key, others):
    names = [("alpha", alpha_key), ("beta", "beta-key-0123456789")] + others
    return [
        {"name": name, "api-keys": [key], "priority": 1, "home-regions": []}
        for name, key in names
    ]


async def play(bench):
    first = harness.config(7, ROUTES, tenants=tenants("old-alpha-key", []))
    await bench.store.put("op", "config", first)
    for number in range(3):
        await bench.add_server(f"i-{number}")
    daemon = await bench.add_daemon("leinster-a-1", extra="revoke_timeout = 5000ms\n")
    await daemon.await_ready()
    await asyncio.sleep(4)  # contact-ms and more
    stop = asyncio.Event()
    sent = {}
    answers = {}

    async def client(name, key):
        number = 0
        while not stop.is_set():
            number += 1
            request = f"{name}-{number}"
            sent[request] = bench.record.now()
            headers = {"X-Request-Id": request, "X-Deadline-Ms": "4000", "X-Key": key}
            try:
                status, _, _ = await harness.call(
                    daemon.ports["caller"], "POST", "/book/1", headers, b"{}"
                )
                answers.setdefault(name, []).append(status)
                bench.record.write(f"{request} answered {status}")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
                bench.record.write(f"{request} failed: {failure!r}")
            await asyncio.sleep(0.2)

    new_key = LONG_KEY if bench.trouble else SHORT_KEY
    clients = [
        asyncio.create_task(client("old", "old-alpha-key")),
        asyncio.create_task(client("beta", "beta-key-0123456789")),
    ]
    await asyncio.sleep(2)
    second = harness.config(9, ROUTES, tenants=tenants("new-alpha-key", [("gamma", new_key)]))
    await bench.store.put("op", "config", second)
    taken_away = bench.record.now()
    bench.record.write(
        f"version 9 acknowledged: takes old-alpha-key away, adds gamma's key of "
        f"{len(new_key)} bytes"
    )
    await asyncio.sleep(2.5)  # config-apply-ms and more
    clients.append(asyncio.create_task(client("alpha", "new-alpha-key")))
    clients.append(asyncio.create_task(client("gamma", new_key)))
    await asyncio.sleep(REVOKE_S - 2.5 + WATCHED_S)
    stop.set()
    await asyncio.gather(*clients)
    late = [
        (when, request)
        for server in bench.servers
        for when, request in server.runs
        if request.startswith("old-") and sent[request] > taken_away + REVOKE_S + MARGIN_S
    ]
    for when, request in late:
        bench.record.write(f"CONFIG: {request}, sent at {sent[request]:.3f}, runs at {when:.3f}")
    for name, statuses in sorted(answers.items()):
        bench.record.write(f"answers of {name}: {sorted(set(statuses))}, last {statuses[-1]}")
    print(f"requests run with the revoked key: {len(late)}; last answers: "
          + ", ".join(f"{name} {statuses[-1]}" for name, statuses in sorted(answers.items())))
    return not late


harness.run_case(pathlib.Path(__file__).resolve().parent, play)
