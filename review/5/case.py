"""After a machine was lost for a while, a zone is lost with its disks, as its loss is tolerated."""

import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from lab import BOUNDS, CannotRun, configuration, main


def play(lab, trouble):
    lab.server("orders")
    lab.server("orders")
    lab.start()
    lab.configure(configuration(5))
    zone_a = [it for it in lab.daemons if it.zone == lab.zones[0]]
    machine = next(it for it in lab.daemons if it.zone == lab.zones[2])
    if trouble:
        machine.kill()
        time.sleep(3.0)
        machine.start()
    time.sleep(15.0)
    if lab.put(configuration(9)) != 200:
        raise CannotRun("version 9 was not acknowledged while all machines ran")
    for daemon in lab.daemons:
        if lab.get(daemon) != 9:
            raise CannotRun(f"{daemon.name} does not read version 9 while all machines run")
        if lab.request(daemon, "GET", "/look/b").status != 200:
            raise CannotRun(f"{daemon.name} does not serve while all machines run")
    for daemon in zone_a:
        daemon.kill()
        daemon.wipe()
    time.sleep(1.0)
    for daemon in zone_a:
        daemon.start()
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


main(play, disks=6, lost_zones=1)
