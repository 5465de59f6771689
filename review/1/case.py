"""A machine loses its disk twice within two seconds; much later another one loses its own."""

import os
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from lab import BOUNDS, CannotRun, configuration, main, until

# Seconds from the first loss of the disk: the process is back, and the disk is lost again.
BACK, AGAIN, BACK_AGAIN = 0.3, 1.2, 2.2


def lose_disk(daemon):
    daemon.kill()
    daemon.wipe()


def play(lab, trouble):
    lab.server("orders")
    lab.server("orders")
    lab.start()
    lab.configure(configuration(5))
    until("a leader", 10, lambda: lab.leader() is not None)
    leader = lab.leader()
    first, other = [it for it in lab.daemons if it is not leader]
    lab.record.line(f"{leader.name} leads; {first.name} loses its disk, later {leader.name}")

    began = time.monotonic()
    lose_disk(first)
    time.sleep(began + BACK - time.monotonic())
    first.start()
    if trouble:
        time.sleep(began + AGAIN - time.monotonic())
        lose_disk(first)
        time.sleep(began + BACK_AGAIN - time.monotonic())
        first.start()

    # All machines run; far longer than catch_up_s and contact_ms.
    time.sleep(15.0)
    if lab.put(configuration(9)) != 200:
        raise CannotRun("version 9 was not acknowledged while all machines ran")
    for daemon in lab.daemons:
        if lab.get(daemon) != 9:
            raise CannotRun(f"{daemon.name} does not read version 9 while all machines run")
        if lab.request(daemon, "GET", "/look/b").status != 200:
            raise CannotRun(f"{daemon.name} does not serve while all machines run")

    # The loss of one machine with its disk, which fault_tolerance allows.
    lose_disk(leader)
    time.sleep(1.0)
    leader.start()
    time.sleep(BOUNDS["recover_s"])
    served = total = 0
    read = set()
    end = time.monotonic() + 2 * BOUNDS["contact_ms"] / 1000
    while time.monotonic() < end:
        for daemon in lab.daemons:
            total += 1
            served += lab.request(daemon, "GET", "/look/c").status == 200
            read.add(lab.get(daemon))
        time.sleep(0.2)
    broken = []
    if 9 not in read:
        broken.append(f"version 9 was acknowledged and is not read back: {read}")
    if read - {9, None}:
        broken.append(f"another version is read back: {read}")
    if served * 4 < total:
        broken.append(f"{served} of {total} requests were served after recover_s")
    return "; ".join(broken)


main(play)
