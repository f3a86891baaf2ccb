"""A limit of the former configuration acts on kept connections: see claim.txt."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness  # noqa: E402

ROUTES = [("a.example", "/book/", "non_idempotent", "bookings", 4000, 2)]
APPLY_S = 2.0  # config-apply-ms
MARGIN_S = 1.5
CONNECTIONS = 60
BEFORE = 8192  # max-header-bytes
AFTER = 16384
NOTE = "n" * 10_000  # a request header between both limits
OWN_EXCEPT = {408, 421, 429}


def allowed(requests):
    return 5 + requests / 500  # DENIED


async def play(bench):
    limit = BEFORE if bench.trouble else AFTER
    first = harness.config(7, ROUTES, limits={"max-header-bytes": limit})
    await bench.store.put("op", "config", first)
    for number in range(8):
        await bench.add_server(f"i-{number}")
    daemon = await bench.add_daemon("leinster-a-1")
    await daemon.await_ready()
    await asyncio.sleep(4)  # contact-ms and more
    statuses = []

    async def booking(reader, writer, request, note=""):
        headers = {"X-Request-Id": request, "X-Deadline-Ms": "4000", "X-Affinity-Key": request}
        if note:
            headers["X-Note"] = note
        bench.record.write(f"{request} sent, {len(note)} bytes of note")
        status, answer, _ = await harness.exchange_on(
            reader, writer, "POST", "/book/1", headers, b"{}"
        )
        own = "x-server-stamp" not in answer
        statuses.append((status, own))
        bench.record.write(f"{request} answered {status}, own {own}")

    kept = []
    for number in range(CONNECTIONS):
        pair = await asyncio.open_connection("127.0.0.1", daemon.ports["caller"])
        await booking(*pair, f"kept{number}-1")
        kept.append(pair)
    if bench.trouble:
        second = harness.config(9, ROUTES, limits={"max-header-bytes": AFTER})
        await bench.store.put("op", "config", second)
        bench.record.write(f"version 9 acknowledged: max-header-bytes {BEFORE} -> {AFTER}")
    await asyncio.sleep(APPLY_S + MARGIN_S)
    for number, pair in enumerate(kept):
        await booking(*pair, f"kept{number}-2", NOTE)
    for number in range(5):
        pair = await asyncio.open_connection("127.0.0.1", daemon.ports["caller"])
        await booking(*pair, f"new{number}", NOTE)
    denied = [
        status
        for status, own in statuses
        if own and 300 <= status < 500 and status not in OWN_EXCEPT
    ]
    bench.record.write(f"DENIED: {len(denied)} of {len(statuses)} requests")
    print(f"denied {len(denied)} of {len(statuses)}, allowed {allowed(len(statuses)):.1f}")
    return len(denied) <= allowed(len(statuses))


harness.run_case(pathlib.Path(__file__).resolve().parent, play)
