"""Two routes with one name: the requests of the first are run by the service of a shorter prefix."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))

from stand import *  # noqa: E402

OTHER_HOST = "shop.example"
CONFIG_APPLY_S = 2.0
REQUESTS = 30


async def case(fleet, record):
    runs = {}

    def runner(service, name):
        async def handle(request, writer):
            if is_misdirected(request, name):
                await refuse_misdirected(request, name, writer)
                return
            record(f"request {request.id} {request.method} {request.path} run by {name} of {service}")
            runs.setdefault(request.id, []).append(service)
            await answer_whole(request, name, writer, f"an answer of {service}".encode())

        return handle

    names = ["desk", "orders", "shop"]
    for number, service in enumerate(names):
        server = await Server(fleet.runner_ip(number + 1), runner(service, f"i-{number}")).start()
        fleet.platform.entries.append(entry(f"i-{number}", service, server.address))
    services = [plain_service(it) for it in names]
    first = [
        route("desk", HOST, "/", "desk", "unsafe", 800, 150),
        route("orders", HOST, "/orders/", "orders", "unsafe", 800, 150),
    ]
    await fleet.start(configuration(3, first, services))
    record(f"version 3: {HOST}/ to desk, {HOST}/orders/ to orders")

    async def send(host, path):
        request_id = new_id()
        daemon = fleet.daemons[len(runs) % 3]
        headers = attempt(request_id, 1500)
        record(f"request {request_id} POST {host}{path} sent to {daemon.name}")
        answer = await call(daemon.address("front"), "POST", path, headers, b"{}", within=2.0, host=host)
        record(f"request {request_id} answered {answer.status} {answer.body.decode().strip()!r}")
        return request_id

    before = [await send(HOST, "/orders/new") for _ in range(REQUESTS)]
    if any(runs.get(it) != ["orders"] for it in before):
        raise NotRun("the first configuration is not obeyed")

    added = route("orders" if TROUBLE else "orders-shop", OTHER_HOST, "/orders/", "shop", "unsafe", 800, 150)
    acknowledged = await fleet.put(configuration(6, [*first, added], services))
    record(f"version 6 acknowledged: the same, and {OTHER_HOST}/orders/ to shop, named {added['name']}", acknowledged)
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    after = [await send(HOST, "/orders/new") for _ in range(REQUESTS)]
    other = [await send(OTHER_HOST, "/orders/new") for _ in range(REQUESTS)]
    wrong = [it for it in after if runs.get(it) not in (None, ["orders"])]
    record(f"{len(wrong)} of {len(after)} requests to {HOST}/orders/ were run by another service than orders")
    wrong_other = [it for it in other if runs.get(it) not in (None, ["shop"])]
    record(f"{len(wrong_other)} of {len(other)} requests to {OTHER_HOST}/orders/ by another one than shop")
    return bool(wrong or wrong_other)


run(case)
