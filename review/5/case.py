"""A client names headers of the system in its `Connection` header."""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from lab import CannotRun, configuration, main

TENANT = "hule930"


def play(lab, trouble):
    lab.server("orders")
    lab.server("orders")
    lab.start()
    lab.configure(configuration(5))
    named = "close, X-Citronpond-Tenant" if trouble else "close"
    wrong = []
    for daemon in lab.daemons:
        for method, path in (("GET", "/look/b"), ("POST", "/book/b")):
            answer = lab.request(daemon, method, path, headers=[("Connection", named)],
                                 body=b"one order" if method == "POST" else b"")
            runs = lab.runs(answer.request)
            if answer.status == 200 and not runs:
                raise CannotRun("a request was answered and did not run")
            for run in runs:
                tenant = run["headers"].get("x-citronpond-tenant")
                if tenant != TENANT:
                    wrong.append(f"{method} at {daemon.name}: {tenant!r}")
    if wrong:
        return f"requests of tenant {TENANT} ran for another tenant: {', '.join(wrong)}"
    return ""


main(play)
