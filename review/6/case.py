"""A service is configured with no slots: machines answer no request any more, to no service."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))

from stand import *  # noqa: E402

TIMEOUT_MS = 800
DEADLINE_MS = 1500

# Half a second after the route's timeout a request must have its answer.
ANSWERED_WITHIN_S = (TIMEOUT_MS + 500) / 1000

CONFIG_APPLY_S = 2.0
PERIOD_S = 6.0
PAUSE_S = 0.1


async def case(fleet, record):
    def runner(service, name):
        async def handle(request, writer):
            if is_misdirected(request, name):
                await refuse_misdirected(request, name, writer)
                return
            record(f"request {request.id} {request.path} run by {name} of {service}")
            await answer_whole(request, name, writer, f"an answer of {service}".encode())

        return handle

    for number, service in enumerate(["repair-desk", "bench-llm"]):
        server = await Server(fleet.runner_ip(number + 1), runner(service, f"i-{number}")).start()
        fleet.platform.entries.append(entry(f"i-{number}", service, server.address, slots=48))
    routes = [
        route("ticket-book", HOST, "/desk/", "repair-desk", "unsafe", TIMEOUT_MS, 150),
        route("draft", HOST, "/draft/", "bench-llm", "unsafe", TIMEOUT_MS, 500),
    ]

    def config(version, slots):
        llm = model_service("bench-llm")
        llm["engine"]["slots"] = slots
        return configuration(version, routes, [plain_service("repair-desk"), llm])

    await fleet.start(config(3, 48))
    record("version 3: repair-desk, and bench-llm with 48 slots")

    async def client(daemon, path, end, outcomes):
        while now() < end:
            request_id = new_id()
            headers = attempt(request_id, DEADLINE_MS)
            record(f"request {request_id} POST {path} sent to {daemon.name}")
            answer = await call(daemon.address("front"), "POST", path, headers, b"{}", within=DEADLINE_MS / 1000)
            took = now() - answer.sent_at if answer.sent_at else 0
            text = f"answered {answer.status}" if answer.status else "not answered"
            record(f"request {request_id} {text} after {took:.3f} s")
            if answer.sent_at:
                outcomes.append((answer.status, took))
            await asyncio.sleep(PAUSE_S)

    async def traffic(what):
        """Requests to both services at all machines; how those to repair-desk ended."""
        end = now() + PERIOD_S
        desk, draft = [], []
        clients = [client(it, "/desk/book", end, desk) for it in fleet.daemons]
        clients += [client(it, "/draft/1", end, draft) for it in fleet.daemons]
        await asyncio.gather(*clients)
        late = [it for it in desk if it[1] > TIMEOUT_MS / 1000]
        none = [it for it in late if not it[0] and it[1] > ANSWERED_WITHIN_S]
        record(
            f"{what}: of {len(desk)} requests to repair-desk {sum(it[0] == 200 for it in desk)} were served, "
            f"{len(late)} had no answer at the route's timeout, {len(none)} of these none half a second later"
        )
        for daemon in fleet.daemons:
            answer = await call(daemon.address("ready"), "GET", "/citronpond/ready", [], within=1.0)
            record(f"{daemon.name} ready: {answer.status}")
        return desk, late, none

    desk, _, _ = await traffic("version 3")
    if not all(it[0] == 200 for it in desk):
        raise NotRun("repair-desk is not served under the first configuration")

    slots = 0 if TROUBLE else 24
    record(f"version 6, bench-llm with {slots} slots, acknowledged", await fleet.put(config(6, slots)))
    await asyncio.sleep(CONFIG_APPLY_S)
    _, late, none = await traffic("version 6")
    broken = len(none) > len(late) / 2
    record("version 9, as version 3, acknowledged", await fleet.put(config(9, 48)))
    await asyncio.sleep(CONFIG_APPLY_S)
    _, late, none = await traffic("version 9")
    return broken or len(none) > len(late) / 2


run(case, [("front-z1-2", "z1")])
