"""The holder of the duties is cut off while an order of it is on its way."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from config import HOST, KEY, config  # noqa: E402
from links import Links  # noqa: E402
from standins import Client, Cloud, Runner, control_call  # noqa: E402
from system import BOUNDS, FRONT, INTERNAL, Record, System  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 4.0
RATE = 10
SCALING = {"min": 1, "max": 10, "boot_s": 4.0, "spot_price": 0.22,
           "zone_prices": {"kariakoo": 1.0, "ubungo": 0.8, "msasani": 1.25,
                           "temeke": 0.9}}


async def load(client, until):
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(client.send("/pufi791/2f")))
        await asyncio.sleep(random.expovariate(RATE))
    return await asyncio.gather(*tasks)


def broken(calls, healed, host):
    """Calls with a lower fence than seen before for that duty and subject."""
    seen, found = {}, []
    for at, path, holder, fence, body in calls:
        subject = (path, body.get("service"), body.get("zone"))
        number = int(fence)
        excused = any(0 <= at - one <= BOUNDS["thaw_slack_ms"] / 1000.0
                      for one in healed.get(holder, []))
        if number < seen.get(subject, 0) and not excused:
            found.append((at, holder, number, seen[subject]))
        seen[subject] = max(number, seen.get(subject, 0))
    return found


async def run(record):
    system = System(disks=4, plain=0)
    links = Links()
    try:
        cloud = Cloud(record, system.net + ".200")
        cloud.is_short = True
        target = await cloud.start()
        host, _, port = target.rpartition(":")
        by_host = {}
        for number, one in enumerate(system.machines):
            one.behind = "%s.%d" % (system.net, 101 + number)
            by_host[one.behind] = one.name
            by_host[one.ip] = one.name
        for number, one in enumerate(system.machines):
            for internal in INTERNAL:
                await links.serve(
                    (one.ip, internal), (one.behind, internal),
                    lambda source, name=one.name: (name, by_host.get(source)))
            server = await links.serve(
                ("%s.%d" % (system.net, 151 + number), 0), (host, int(port)),
                lambda _, name=one.name: (name,))
            one.cloud = "%s:%d" % server.sockets[0].getsockname()[:2]
        system.start()
        answer, _ = await control_call(system.controls(), "POST",
                                       "/config/replace",
                                       config(7, scaling=SCALING))
        if answer is None or answer[0] != 200:
            return 2
        runner = Runner(record, system.net + ".200", "i-7f3a91c2", "wuno96b",
                        system.zones[0], system.controls())
        await runner.start()
        await asyncio.sleep(3)
        end = time.monotonic() + 30
        loads = [asyncio.ensure_future(load(
            Client(record, (one.ip, FRONT), HOST, KEY), end))
            for one in system.machines]
        await asyncio.sleep(10)
        if not cloud.calls:
            record.write("no duty was done")
            return 2
        _, _, holder, fence, _ = cloud.calls[-1]
        healed = {}
        if TROUBLE:
            links.change(holder, True)
            record.write("cut off:", holder, "which holds fence", fence)
            await asyncio.sleep(CUT_S)
            links.change(holder, False)
            healed[holder] = [time.monotonic()]
            record.write("the cut has healed")
        await asyncio.sleep(max(0, end - time.monotonic()))
        await asyncio.gather(*loads)
        await runner.end()
        if any(one.ended() for one in system.machines):
            record.write("a process ended by itself")
            return 2
        found = broken(cloud.calls, healed, host)
        for at, who, number, before in found:
            record.write("STALE: fence", number, "by", who, "after fence",
                         before, "%.2f s after its link had healed" %
                         (at - healed[who][0]))
        print("calls %d, holders %s, with a lower fence than seen: %d" % (
            len(cloud.calls), len({one[2] for one in cloud.calls}),
            len(found)))
        if TROUBLE and len({one[2] for one in cloud.calls}) < 2:
            return 2
        return 1 if found else 0
    finally:
        system.stop()


def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    try:
        code = asyncio.run(run(record))
    except RuntimeError as fault:
        print(fault)
        code = 2
    record.close()
    print({0: "the rule held", 1: "the rule was broken"}.get(code, "not run"))
    return code


if __name__ == "__main__":
    sys.exit(main())
