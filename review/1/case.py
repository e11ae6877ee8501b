"""A core machine that is killed while it takes up its new place in the group."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import *  # noqa: E402,F403

FREEZE_S = 5.0  # for_s of node_freeze in `fleetbench kinds`
WATCH_S = 2.0


def newest_journal(folder):
    numbers = [int(name[8:]) for name in os.listdir(folder)
               if name.startswith("journal-") and name[8:].isdigit()]
    return max(numbers, default=0)


def kill_while_it_writes(system, machine, role="control"):
    """Kills the process between its two writes of the new identity."""
    folder = machine.data(role)
    identity = os.path.join(folder, "identity")
    before = newest_journal(folder)
    inode = os.stat(identity).st_ino
    following = [os.path.join(folder, f"journal-{before + step}") for step in (1, 2)]
    process = machine.processes[role]
    process.expected = True
    process.send_signal(signal.SIGCONT)
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        if os.path.exists(following[0]) or os.path.exists(following[1]):
            process.kill()
            process.wait()
            same = os.stat(identity).st_ino == inode
            system.note(f"{machine.name} {role} killed after {newest_journal(folder)} "
                        f"journals, identity file {'old' if same else 'new'}")
            return same
    process.expected = False
    system.note(f"{machine.name} {role}: no new place within {WATCH_S} s")
    return False


async def lose(system, machine):
    """Freezes a machine of the core, wakes it, and kills its control process once."""
    system.note(f"{machine.name} freezes")
    machine.signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    machine.signal(signal.SIGCONT, "entry")
    system.note(f"{machine.name} wakes")
    hit = kill_while_it_writes(system, machine)
    await asyncio.sleep(4.5)  # catch_up_s, and the delay of the start
    return hit


async def case(system, trouble):
    for zone in "abcde":
        system.add(zone, True, ["control", "entry"])
    await system.start()
    if not await system.replace(
            config(7, [route("r", "/a/", "svc", "idempotent", public=True)], ["svc"])):
        return 2
    await asyncio.sleep(3.0)
    hits = 0
    for machine in 2 * system.machines if trouble else []:
        if not machine.own_ends["control"] and hits < 2:
            hits += await lose(system, machine)
        if time.monotonic() - system.began > 75:
            break
    if trouble and hits < 2:
        return 2
    system.note("no impairment from here on")
    calm = time.monotonic() - system.began
    await asyncio.sleep(12.0)
    read = await system.read(5.0)
    system.note(f"config read back: {read and read['version']}")
    ended = []
    for machine in system.machines:
        own = [at for at in machine.own_ends["control"] if at > calm]
        system.note(f"{machine.name} control: {len(own)} ends of its own in calm")
        if len(own) >= 3:
            ended.append(machine)
            last = [line for line in machine.log("control").splitlines() if line][-1]
            system.note(f"{machine.name} control says: {last[-200:]}")
    # Fault: a tenth of the machines in use, two at least, three times each.
    return 1 if len(ended) >= max(2, len(system.machines) / 10) else 0


main(case, os.path.join(HERE, "record.txt"))
