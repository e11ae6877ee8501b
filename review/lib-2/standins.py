"""Small stand-ins for runners, clients, the operator and the platform.

They speak what the page PROTOCOL says, and behave soundly unless a case tells
them otherwise.
"""

import asyncio
import json
import random
import time


class Message:
    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name):
        return self.fields.get(name.lower(), "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), fields


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_message(reader):
    first, fields = await read_head(reader)
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    elif int(fields.get("content-length", "0") or 0) > 0:
        body = await reader.readexactly(int(fields["content-length"]))
    return Message(first, fields, body)


async def call(address, method, path, body=None, timeout=1.0, fields=None):
    """One call on a new channel; returns (status, fields, body) or None."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), min(1.0, timeout))
        data = b"" if body is None else json.dumps(body).encode()
        head = "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\n" % (
            method, path, address[0], address[1], len(data))
        if body is not None:
            head += "Content-Type: application/json\r\n"
        for name, value in (fields or {}).items():
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "Connection: close\r\n\r\n").encode() + data)
        answer = await asyncio.wait_for(read_message(reader), timeout)
        return int(answer.first[1]), answer.fields, answer.body
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()


def location(fields):
    """The address and path of a redirection."""
    rest = fields.get("location", "").split("://", 1)[-1]
    place, _, path = rest.partition("/")
    host, _, port = place.rpartition(":")
    return (host, int(port)), "/" + path


async def control_call(controls, method, path, body=None, seconds=20,
                       timeout=1.0):
    """As the operator calls: any node, redirections twice, then another."""
    until = time.monotonic() + seconds
    last = None
    while time.monotonic() < until:
        address, target = random.choice(controls), path
        for _ in range(3):
            last = await call(address, method, target, body, timeout)
            if last is None or last[0] != 307:
                break
            address, target = location(last[1])
        if last is not None and (last[0] == 200 or last[0] in
                                 (400, 409, 412, 413, 422)):
            return last, address
        await asyncio.sleep(0.1)
    return last, None


class Cloud:
    """The platform's API: takes duties and notes them."""

    def __init__(self, record, host):
        self.record = record
        self.host = host
        self.calls = []
        self.server = None
        # No runners are to be had: each order gets 409.
        self.is_short = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                one = await read_message(reader)
                holder = one.field("Peridotspool-Duty-Holder")
                fence = one.field("Peridotspool-Fence-Token")
                body = json.loads(one.body or b"{}")
                self.calls.append((time.monotonic(), one.first[1], holder,
                                   fence, body))
                self.record.write("cloud", one.first[1], holder, fence,
                                  json.dumps(body, sort_keys=True))
                refused = self.is_short and one.first[1] == "/scale"
                writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" %
                             (b"409 Conflict" if refused else b"200 OK"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Runner:
    """A runner of a plain service; one lifetime."""

    def __init__(self, record, host, name, service, zone, controls, slots=6,
                 queue=24, work=0.06, heartbeat=1.2):
        self.record = record
        self.host = host
        self.name = name
        self.service = service
        self.zone = zone
        self.controls = controls
        self.slots = slots
        self.queue = queue
        self.work = work
        self.heartbeat = heartbeat
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.beats = None
        self.beats_at = None
        self.server = None
        self.channels = set()
        self.ran = []
        self.on_arrival = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.ensure_future(self.beat())

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def tell(self, what, body):
        """Tells the nodes one after the other until one acknowledges it."""
        order = random.sample(self.controls, len(self.controls))
        if self.beats_at is not None:
            order.insert(0, self.beats_at)
        for address in order:
            self.record.write("runner", self.name, "tells", address[0], what,
                              self.state if what == "heartbeat" else "")
            answer = await call(address, "POST", "/instances/%s/%s" %
                                (self.name, what), body)
            if answer is not None and 200 <= answer[0] < 300 and \
                    len(answer[2]) <= 4096:
                named = json.loads(answer[2] or b"{}").get("heartbeat_address")
                if named:
                    host, _, port = named.rpartition(":")
                    self.beats_at = (host, int(port))
                self.record.write("runner", self.name, "acknowledged by",
                                  address[0], what)
                return address
            self.beats_at = None
        return None

    async def beat_once(self):
        self.sequence += 1
        return await self.tell("heartbeat", {
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "seq": self.sequence})

    async def beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(self.heartbeat * random.uniform(0.95, 1.05))

    async def deregister(self, first=None):
        if first is not None:
            self.beats_at = first
        return await self.tell("deregister", {})

    def stop_beats(self):
        if self.beats is not None:
            self.beats.cancel()
            self.beats = None

    async def end(self):
        """Exits: what is under way is lost."""
        self.stop_beats()
        if self.server is not None:
            self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        self.record.write("runner", self.name, "ended")

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                one = await read_message(reader)
                await self.answer(one, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def reply(self, status, request, body=b"", fields=None):
        head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
        if request:
            head += "Peridotspool-Request-Id: %s\r\n" % request
        head += "Peridotspool-Instance-Load: %s\r\n" % self.load()
        head += "Keep-Alive: timeout=15\r\n"
        for name, value in (fields or {}).items():
            head += "%s: %s\r\n" % (name, value)
        return (head + "\r\n").encode() + body

    async def answer(self, one, writer):
        request = one.field("Peridotspool-Request-Id")
        if one.first[1].startswith("/healthz"):
            ready = self.state == "ready"
            writer.write(self.reply(200 if ready else 503, "", b"", {
                "Peridotspool-Instance-Id": self.name}))
            return
        expected = one.field("Peridotspool-Expect-Instance")
        if expected and expected != self.name:
            writer.write(self.reply(421, request, b"", {
                "Peridotspool-Not-Run": "1"}))
            return
        if self.on_arrival is not None:
            self.on_arrival(request)
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(self.reply(503, request, b"", {
                "Peridotspool-Not-Run": "1"}))
            return
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            self.ran.append((time.monotonic(), request))
            self.record.write("runner", self.name, "runs", request,
                              one.field("Peridotspool-Tenant"))
            try:
                await asyncio.sleep(self.work * random.uniform(0.5, 1.5))
            finally:
                self.running -= 1
        body = ("%s ran %s" % (self.name, request)).encode()
        writer.write(self.reply(200, request, body, {
            "Peridotspool-Response-Stamp": "stamp-%s" % request}))
        await writer.drain()


class Client:
    """Sends requests to one entry on kept channels."""

    def __init__(self, record, address, host, key):
        self.record = record
        self.address = address
        self.host = host
        self.key = key
        self.idle = []

    async def send(self, path, method="POST", deadline=3000, body=b"x" * 100,
                   fields=None):
        """One attempt; returns (id, status or None, headers, body)."""
        request = "%016x" % random.getrandbits(64)
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nPeridotspool-Request-Id: %s\r\n"
                "Peridotspool-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n" %
                (method, path, self.host, request, deadline, self.key))
        if method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        for name, value in (fields or {}).items():
            head += "%s: %s\r\n" % (name, value)
        writer = None
        try:
            if self.idle:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.address), 1.0)
            self.record.write("client sends", request, path, "to",
                              self.address[0])
            writer.write((head + "\r\n").encode() +
                         (b"" if method == "GET" else body))
            answer = await asyncio.wait_for(read_message(reader),
                                            deadline / 1000.0)
            status = int(answer.first[1])
            self.record.write("client gets", request, status,
                              answer.body[:60].decode("latin-1"))
            if answer.field("Connection").lower() != "close":
                self.idle.append((reader, writer))
                writer = None
            return request, status, answer.fields, answer.body
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError, IndexError) as fault:
            self.record.write("client gets", request, "nothing",
                              type(fault).__name__)
            return request, None, {}, b""
        finally:
            if writer is not None:
                writer.close()
