"""Two core machines lose their disks, one well after the other, under a large config."""

import os
import shutil
import string
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import *  # noqa: E402,F403

DISK_MB = 64  # "64 MB of disk" (lefkada-smt)
TENANTS, KEYS = 50, 1600
CHANGES = 36  # DEPLOY.md: "may contain hundreds of changes"
DOWN_S = 1.5  # after_ack_wipe: down_s = 1.5 in lefkada-smt
APART_S = 15.0  # catch_up_s is 4


def tenants(letters):
    key = lambda: "".join(letters.choices(string.ascii_lowercase + string.digits, k=20))  # noqa: E731
    return [{"name": f"tenant{number}", "api_keys": [key() for _ in range(KEYS)],
             "priority": 1, "unit": "token_count", "plain_tokens": 200,
             "rate_per_s": 384330, "burst": 384330} for number in range(TENANTS)], key


async def lose_disk(system, machine):
    """All processes of the machine are killed; it comes back with an empty disk."""
    system.note(f"{machine.name} loses its disk")
    machine.held = set(machine.roles)
    for role in machine.roles:
        machine.kill(role)
    await asyncio.sleep(DOWN_S)
    shutil.rmtree(machine.data("control"))
    machine.held = set()
    system.note(f"{machine.name} is started again")


async def case(system, trouble):
    system.disk_mb = DISK_MB
    for zone in "abc":
        system.add(zone, True, ["control", "entry"])
    await system.start()
    customers, key = tenants(random.Random(1))
    routes = [route("r", "/a/", "svc", "idempotent")]
    acknowledged = 0
    for version in range(1, CHANGES + 1):
        customers[version % TENANTS]["api_keys"][0] = key()
        document = config(version, routes, ["svc"], customers)
        if not await system.replace(document, 15):
            return 2
        acknowledged = version
        await asyncio.sleep(0.1)
    for machine in system.machines[:2] if trouble else []:
        await lose_disk(system, machine)
        await asyncio.sleep(APART_S)
    read = await system.read(20.0)
    system.note(f"acknowledged {acknowledged}, read back {read and read['version']}")
    for machine in system.machines:
        system.note(f"{machine.name} control: {memory_of(machine.processes['control'].pid)} MB, "
                    f"{len(machine.own_ends['control'])} ends of its own")
    return 1 if not read or read["version"] < acknowledged else 0


main(case, os.path.join(HERE, "record.txt"))
