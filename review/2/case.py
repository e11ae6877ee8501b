"""A large config that is changed a few dozen times, on the sheet's disks."""

import os
import string
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import *  # noqa: E402,F403

DISK_MB = 64  # "64 MB of disk" (lefkada-smt)
MEMORY_MB = 260  # "260 MB"
TENANTS, KEYS = 50, 1600
CHANGES = 80  # DEPLOY.md: "may contain hundreds of changes"
GAP_S = 0.3  # config_storm: 0.33 in lefkada-smt


def tenants(letters):
    key = lambda: "".join(letters.choices(string.ascii_lowercase + string.digits, k=20))  # noqa: E731
    return [{"name": f"tenant{number}", "api_keys": [key() for _ in range(KEYS)],
             "priority": 1, "unit": "token_count", "plain_tokens": 200,
             "rate_per_s": 384330, "burst": 384330} for number in range(TENANTS)], key


async def case(system, trouble):
    system.disk_mb, system.memory_mb = DISK_MB, MEMORY_MB
    for zone in "abcd":
        system.add(zone, True, ["control", "entry"])
    await system.start()
    customers, key = tenants(random.Random(1))
    routes = [route("r", "/a/", "svc", "idempotent")]
    acknowledged = 0
    for version in range(1, (CHANGES if trouble else 3) + 1):
        # One key is exchanged for another, as PROTOCOL.md says of changes.
        customers[version % TENANTS]["api_keys"][0] = key()
        document = config(version, routes, ["svc"], customers)
        if version == 1:
            system.note(f"the config has {len(json.dumps(document))} bytes")
        got = await system.until_taken("POST", "/config/replace", document, 15)
        system.note(f"config version {version}: {got[0] if got else 'no answer in 15 s'}")
        if not got:
            break
        if got[0] != 200:
            return 2
        acknowledged = version
        await asyncio.sleep(GAP_S)
    for machine in system.machines:
        folder = machine.data("control")
        size = sum(os.stat(os.path.join(folder, name)).st_size for name in os.listdir(folder))
        used = memory_of(machine.processes["control"].pid)
        system.note(f"{machine.name} control: {used} MB of memory, {size >> 20} MB of disk, "
                    f"{len(machine.own_ends['control'])} ends")
    # At the end of the day the operator asks repeatedly for contact_ms at least.
    read = await system.read(20.0)
    system.note(f"acknowledged {acknowledged}, read back {read and read['version']}")
    ends = sum(len(machine.own_ends["control"]) >= 3 for machine in system.machines)
    return 1 if not read or read["version"] < acknowledged or ends >= 2 else 0


main(case, os.path.join(HERE, "record.txt"))
