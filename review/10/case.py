"""A server that says that it leaves goes on to get work: see claim.txt."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness_2 as harness  # noqa: E402

ROUTES = [("a.example", "/book/", "non_idempotent", "bookings", 4000, 2)]
DRAIN_S = 2.0  # drain-timeout-ms
MARGIN_S = 0.2
AWAY_S = 9.0  # the store turns the machine away
SERVES_ON_S = 4.0  # after drain-timeout-ms, until the server exits
WORK_S = 0.8
ZONES = ["leinster-a", "munster-a", "connacht-a"]


async def play(bench):
    store = bench.store
    entrance = harness.free_port()
    await store.open_entrance(entrance)
    await store.put("op", "config", harness.config(7, ROUTES))
    for zone in ZONES:
        for number in range(3):
            server = await bench.add_server(f"i-{zone}-{number}", zone=zone)
            server.work = WORK_S
    for zone in ZONES:
        port = entrance if zone == "leinster-a" else store.port
        await bench.add_daemon(f"{zone}-1", zone=zone, store_port=port)
    for daemon in bench.daemons:
        await daemon.await_ready()
    daemon = bench.daemons[0]
    leaver = bench.servers[0]
    await asyncio.sleep(4)  # contact-ms and more
    stop = asyncio.Event()
    sent = {}  # request -> when
    unanswered = []
    said_leaving = []  # when an answer with Server-Leaving was passed on
    total = 0
    pauses = random.Random(9)

    async def client(name):
        nonlocal total
        while not stop.is_set():
            total += 1
            request = f"{name}-{total}"
            sent[request] = bench.record.now()
            try:
                status, answer, _ = await harness.call(
                    daemon.ports["caller"],
                    "POST",
                    "/book/1",
                    {
                        "X-Request-Id": request,
                        "X-Deadline-Ms": "4000",
                        "X-Affinity-Key": str(total % 60),
                    },
                    b"{}",
                )
                if "server-leaving" in answer:
                    said_leaving.append(bench.record.now())
                if status not in (200, 503):
                    unanswered.append(request)
                bench.record.write(
                    f"{request} answered {status}"
                    + (", Server-Leaving" if "server-leaving" in answer else "")
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as failure:
                bench.record.write(f"{request} failed: {failure!r}")
            await asyncio.sleep(pauses.uniform(0.05, 0.3))

    clients = [asyncio.create_task(client(f"c{n}")) for n in range(10)]
    await asyncio.sleep(3)
    if bench.trouble:
        store.turned_away.add(entrance)
        bench.record.write("the store turns leinster-a-1 away (503) and serves the others")
    await asyncio.sleep(1)
    leaver.state = "draining"
    leaver.extra_headers["Server-Leaving"] = "1"
    await leaver.register()
    bench.record.write(f"{leaver.name} reports draining, acknowledged; says so in its answers")
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    bench.record.write(f"{leaver.name} exits")
    await leaver.end()
    await asyncio.sleep(AWAY_S - 1 - DRAIN_S - SERVES_ON_S)
    store.turned_away.discard(entrance)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*clients)
    late = []
    if said_leaving:
        late = [
            (when, request)
            for when, request in leaver.runs
            if sent.get(request, 0) > min(said_leaving) + DRAIN_S + MARGIN_S
        ]
    for when, request in late:
        bench.record.write(f"DRAIN: {request}, sent at {sent[request]:.3f}, runs at {when:.3f}")
    lost = [request for request in unanswered if request in {one for _, one in leaver.runs}]
    bench.record.write(f"bookings that ran there and failed when it exited: {lost}")
    print(f"late requests at the leaving server: {len(late)}; bookings lost at its exit: {len(lost)}")
    return not late


harness.run_case(pathlib.Path(__file__).resolve().parent, play)
