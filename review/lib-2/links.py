"""Links between machines that can be cut, as proxies on loopback.

A cut takes bytes from neither side to the other. Bytes that were under way when
a link was cut, or were sent into the cut, aren't lost: the sender's TCP sends
them again, after 0.2 s and then with doubled pauses, so they arrive with the
first of these after the cut has healed. If their sender resets the channel
before, they are lost (page DEPLOY). A channel that is opened during the cut
isn't established.
"""

import asyncio
import time

FIRST_RESEND_S = 0.2


class Links:
    def __init__(self):
        self.cuts = set()       # machines that are cut off
        self.changed = asyncio.Event()
        self.channels = set()

    def is_cut(self, *ends):
        return any(one in self.cuts for one in ends)

    def change(self, machine, cut):
        if cut:
            self.cuts.add(machine)
        else:
            self.cuts.discard(machine)
        self.changed.set()
        self.changed = asyncio.Event()

    async def until_up(self, sent, ends):
        """Waits until bytes sent at `sent` have arrived."""
        pause, at = FIRST_RESEND_S, sent
        while self.is_cut(*ends):
            await self.changed.wait()
            # The next time at which the sender's TCP tries again.
            now = time.monotonic()
            while at < now:
                at += pause
                pause *= 2
            await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def pass_on(self, reader, writer, other, ends):
        """Passes bytes on in order; `other` is the channel that they come by."""
        held = asyncio.Queue()
        reset = asyncio.Event()

        async def deliver():
            while True:
                sent, data = await held.get()
                await self.until_up(sent, ends)
                if reset.is_set():
                    writer.transport.abort()
                    return
                if data is None:
                    if writer.can_write_eof():
                        writer.write_eof()
                    return
                writer.write(data)
                await writer.drain()

        task = asyncio.ensure_future(deliver())
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                held.put_nowait((time.monotonic(), data))
            held.put_nowait((time.monotonic(), None))
        except OSError:
            reset.set()
            held.put_nowait((time.monotonic(), None))
        try:
            await task
        except (OSError, RuntimeError):
            other.transport.abort()

    async def serve(self, listen, target, ends_of):
        """Listens at `listen` for `target`; `ends_of(source host)` names the
        machines at both ends."""

        async def accept(reader, writer):
            ends = ends_of(writer.get_extra_info("peername")[0])
            if self.is_cut(*ends):
                while self.is_cut(*ends):
                    await self.changed.wait()
                writer.transport.abort()
                return
            try:
                to_reader, to_writer = await asyncio.open_connection(*target)
            except OSError:
                writer.transport.abort()
                return
            try:
                await asyncio.gather(
                    self.pass_on(reader, to_writer, writer, ends),
                    self.pass_on(to_reader, writer, to_writer, ends))
            except asyncio.CancelledError:
                pass
            finally:
                writer.close()
                to_writer.close()

        return await asyncio.start_server(accept, *listen)
