"""Five runners leave at once, and the node that acknowledges it is killed."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from config import HOST, KEY, config  # noqa: E402
from standins import Client, Cloud, Runner, call, control_call  # noqa: E402
from system import BOUNDS, CONTROL, FRONT, READY, Record, System  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESTART_S = 0.8     # a killed process is back within a second
LINGER_S = 4.0      # drain_ms "and a little longer"
LEAVING = 5         # the runners of one zone, of 35 (scale_in: share .15)
OTHERS = 10         # in each of the other zones
RATE = 6            # requests a second at each entry
NEAR_RATE = 30      # at the one that is left in the runners' zone


async def load(record, machine, rate, until):
    client = Client(record, (machine.ip, FRONT), HOST, KEY)
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.ensure_future(client.send("/pufi791/2f")))
        await asyncio.sleep(random.expovariate(rate))
    return await asyncio.gather(*tasks)


async def run(record):
    system = System(disks=4, plain=4)
    try:
        cloud = Cloud(record, system.net + ".200")
        system.cloud = await cloud.start()
        system.start()
        started = time.monotonic()
        answer, _ = await control_call(system.controls(), "POST",
                                       "/config/replace", config(7))
        if answer is None or answer[0] != 200:
            return 2
        node = system.machines[4]       # no disk; serves control and clients
        zones = [node.zone] * LEAVING + system.zones[1:] * OTHERS
        runners = []
        for zone in zones:
            runners.append(Runner(record, system.net + ".200",
                                  "i-%06x" % random.getrandbits(24),
                                  "wuno96b", zone, system.controls()))
            await runners[-1].start()
        leaving = runners[:LEAVING]
        await asyncio.sleep(max(0, started + 7 - time.monotonic()))
        for machine in system.machines:
            answer = await call((machine.ip, READY), "GET", "/readyz")
            if answer is None or answer[0] != 200:
                return 2
        end = time.monotonic() + 10
        # The clients of the machine that is killed go elsewhere beforehand.
        loads = [asyncio.ensure_future(load(
            record, one, NEAR_RATE if one.zone == node.zone else RATE, end))
            for one in system.machines if one is not node]
        await asyncio.sleep(2)
        for one in leaving:
            one.stop_beats()
            await one.beat_once()
        await asyncio.sleep(0.3)
        told = await asyncio.gather(
            *(one.deregister((node.ip, CONTROL)) for one in leaving))
        acknowledged = time.monotonic()
        if TROUBLE:
            record.write("kills", node.name, "%.1f ms after the last "
                         "acknowledgement" %
                         ((time.monotonic() - acknowledged) * 1000))
            node.kill()
        if any(at != (node.ip, CONTROL) for at in told):
            return 2
        if TROUBLE:
            await asyncio.sleep(RESTART_S)
            node.start()
            record.write("started", node.name)
        await asyncio.sleep(max(0, acknowledged + LINGER_S - time.monotonic()))
        # They exit, with work or without: they were to get none any more.
        until = time.monotonic() + 0.3
        while time.monotonic() < until and not any(
                one.running for one in leaving):
            await asyncio.sleep(0.001)
        for one in leaving:
            await one.end()
        sent = [one for part in await asyncio.gather(*loads) for one in part]
        for one in runners[LEAVING:]:
            await one.end()
        if any(one.ended() for one in system.machines):
            record.write("a process ended by itself")
            return 2
        answers = {request: status for request, status, _, _ in sent}
        late = [(at - acknowledged, one.name, request)
                for one in leaving for at, request in one.ran
                if at > acknowledged + BOUNDS["drain_ms"] / 1000.0]
        for after, name, request in sorted(late):
            record.write("LATE: reached", name,
                         "%.1f s after the acknowledgement:" % after, request,
                         "answered", answers.get(request))
        print("requests %d; later than drain_ms at runners that had left: %d, "
              "at %d of %d runners, never answered with success: %d" % (
                  len(sent), len(late), len({one for _, one, _ in late}),
                  LEAVING, sum(answers.get(one) != 200 for _, _, one in late)))
        return 1 if late else 0
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
