"""Configs whose versions are 0 or above 2 to the power of 53."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import *  # noqa: E402,F403

CONTACT_S = 3.0  # contact_ms
LARGE = 2 ** 53


async def change(system, version, prefix):
    """Sends a config; whether it is read back as it was sent, once acknowledged."""
    document = config(version, [route("r", prefix, "svc", "idempotent", public=True)], ["svc"])
    got = await system.replace(document)
    if not got or got[0] != 200:
        return None
    await asyncio.sleep(2.0)  # config_apply_ms
    read = await system.read(CONTACT_S + 2.0)
    kept = read is not None and read["version"] == version and read["routes"] == document["routes"]
    system.note(f"version {version} acknowledged, read back: "
                f"{'nothing' if read is None else read['version']}, "
                f"{'as sent' if kept else 'not as sent'}")
    return kept


async def case(system, trouble):
    for zone in "abcd":
        system.add(zone, True, ["control", "entry"])
    await system.start()
    versions = [0, 7, LARGE, LARGE + 1] if trouble else [1, 7, 8, 10]
    kept = []
    for number, version in enumerate(versions):
        kept.append(await change(system, version, f"/p{number}/"))
    if None in kept:
        return 2
    return 0 if all(kept) else 1


main(case, os.path.join(HERE, "record.txt"))
