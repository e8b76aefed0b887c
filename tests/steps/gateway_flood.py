"""Steps for targets that send bytes without end."""

from __future__ import annotations

import types

import h11
import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path, platform_world

from galenavane.net import buffer_budget, http_connection, tcp, transport_error
from galenavane.serve import event_splitter

plan_step = gateway_whole_path.plan_step
CHUNKED = b"HEADTransfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "a header line": (b"HEADX: ", b"a" * 1000),
    "header lines": (b"HEAD", b"X-a: b\r\n" * 100),
    "no line end": (b"", b"a" * 1000),
    "garbage lines": (b"", b"\x00\xff\n" * 100),
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "a chunk size": (CHUNKED, b"1" * 1000),
    "a chunk extension": (CHUNKED + b"5;", b"a" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-a: b\r\n" * 100),
    "an event": (CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n"),
    "an unframed body": (b"HEAD\r\n", b"a" * 1000),
    "a body in chunks": (CHUNKED, b"3e8\r\n" + b"a" * 1000 + b"\r\n"),
    "a body of 15 MB": (b"HEADContent-Length: 15000000\r\n\r\n", b"a" * 1000),
    "a stated length of 10 GB": (b"HEADContent-Length: 10000000000\r\n\r\n", b"a" * 1000),
    "bytes after its answer": (b"HEADContent-Length: 4\r\n\r\ndone", b"\x00 extra" * 100),
}
UNENDING_HEADS = (*FLOODS,)[:8]


def set_flood(context, flood, pause_seconds):
    """Make the target that is asked next send a flood."""

    @plan_step(context)
    async def step(world):
        start, repeated = FLOODS[flood]
        world.flood = types.SimpleNamespace(
            start=start,
            repeated=repeated if not pause_seconds else repeated[:27],
            pause_seconds=pause_seconds,
            target="",
            requests=0,
            seconds=None,
        )


@when("the first target that is asked sends {flood} without end")
def flood_fast(context, flood):
    set_flood(context, flood, 0.0)


@when("the first target that is asked sends {flood} without end, a piece each 100 ms")
def flood_slowly(context, flood):
    set_flood(context, flood, 0.1)


@then('it gets the body "{body}" with status {status:d}')
def check_body(context, body, status):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert (answer.status, answer.body, answer.is_whole) == (
            status,
            body.encode(),
            True,
        ), answer


@then("the flood was cut off within {seconds:g} s")
def check_cut_off(context, seconds):
    @plan_step(context)
    async def step(world):
        with trio.move_on_after(seconds):
            while world.flood.seconds is None:
                await trio.sleep(0.01)
        assert world.flood.seconds is not None, "the connection is still open"
        assert world.flood.seconds <= seconds, world.flood.seconds
        assert world.flood.requests == 1, world.flood


@then("the entry avoids the target that sent it")
def check_avoided(context):
    @plan_step(context)
    async def step(world):
        assert world.entry.is_suspect(world.flood.target)


class EndlessStream(trio.abc.Stream):
    """A stream that goes on without end, and counts the bytes read from it."""

    def __init__(self, start, repeated):
        self.unread = start
        self.repeated = repeated
        self.read_bytes = 0

    async def receive_some(self, max_bytes=None):
        while len(self.unread) < max_bytes:
            self.unread += self.repeated * 10
        part, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        self.read_bytes += len(part)
        return part

    async def send_all(self, data):
        """Ignore what is sent."""

    async def wait_send_all_might_not_block(self):
        """Return at once."""

    async def aclose(self):
        """Do nothing."""


@then("an endless answer of any of these kinds is read up to {limit:d} bytes")
def check_read_bytes(context, limit):
    async def read(flood):
        start, repeated = FLOODS[flood]
        stream = EndlessStream(start.replace(b"HEAD", b"HTTP/1.1 200 OK\r\n"), repeated)
        conn = http_connection.HttpConnection(stream, h11.CLIENT)
        await conn.send(
            h11.Request(method="GET", target="/", headers=[("host", "h")]), h11.EndOfMessage()
        )
        try:
            await conn.read_response_head()
            await conn.read_body(1_000_000)
        except transport_error.TransportError:
            assert stream.read_bytes <= limit, (flood, stream.read_bytes)
        else:
            raise AssertionError(f"{flood} was read as an answer")

    for flood in UNENDING_HEADS:
        trio.run(read, flood)


@then("an endless event is buffered up to {limit:d} bytes")
def check_buffered_bytes(context, limit):
    splitter = event_splitter.EventSplitter()
    fed = 0
    try:
        while fed <= limit:
            fed += 65_536
            splitter.feed(b"a" * 65_536)
    except ValueError:
        pass
    assert fed <= limit, fed


class CountingBudget(buffer_budget.Budget):
    """A budget that keeps the most that was used of it."""

    def __init__(self, limit_bytes):
        super().__init__(limit_bytes)
        self.most_bytes = 0

    @property
    def used_bytes(self):
        return self._used_bytes

    @used_bytes.setter
    def used_bytes(self, value):
        self._used_bytes = value
        self.most_bytes = max(getattr(self, "most_bytes", 0), value)


@when("the entry may use {limit:d} bytes for answers")
def limit_answers(context, limit):
    @plan_step(context)
    async def step(world):
        world.entry.answer_budget = CountingBudget(limit)


@when("the entry may use {limit:d} bytes for requests")
def limit_requests(context, limit):
    @plan_step(context)
    async def step(world):
        budget = world.entry.request_budget
        budget.limit_bytes = limit
        world.request_most = 0
        grow = buffer_budget.Reservation.grow

        def note(reservation, size):
            is_possible = grow(reservation, size)
            world.request_most = max(world.request_most, budget.used_bytes)
            return is_possible

        buffer_budget.Reservation.grow = note
        world.restore_grow = lambda: setattr(buffer_budget.Reservation, "grow", grow)


@when("every plain target sends {flood} to {count:d} clients that {request}")
def flood_many(context, flood, count, request):
    path = {"look an order up": "/status/x", "place an order": "/order/x"}[request]

    @plan_step(context)
    async def step(world):
        start, repeated = FLOODS[flood]
        world.endless = (start, repeated * 60)
        world.answers = []

        async def call():
            conn = await tcp.make().dial(world.callers, 1.0)
            try:
                with trio.move_on_after(4.0):
                    answer = await world.call_over(conn, path, method="POST", may_break_off=True)
                    world.answers.append(answer)
            except transport_error.TransportError:
                pass
            await conn.close()

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(call)
        world.endless = None


@then("the answers have taken {limit:d} bytes at most")
def check_taken(context, limit):
    @plan_step(context)
    async def step(world):
        budget = world.entry.answer_budget
        assert budget.most_bytes <= limit, budget.most_bytes


@then("none of the clients got an answer that looks complete")
def check_incomplete(context):
    @plan_step(context)
    async def step(world):
        wrong = [(each.status, len(each.body)) for each in world.answers if each.status == 200]
        whole = [each for each in world.answers if each.status == 200 and each.is_whole]
        assert not whole, wrong


@when("a client looks an order up at a sound target")
def look_up_later(context):
    @plan_step(context)
    async def step(world):
        world.entry.suspects.clear()
        world.answer = await world.call("/status/x", method="GET")


@then("it gets the whole long text")
def check_long(context):
    @plan_step(context)
    async def step(world):
        answer = world.answer
        assert (answer.status, answer.is_whole) == (200, True), answer.status
        assert answer.body == gateway_unframed.BODIES["a long text"], len(answer.body)


@when("{count:d} clients send orders with {size:d} bytes each, slowly")
def send_bodies(context, count, size):
    @plan_step(context)
    async def step(world):
        world.answers = []

        async def call(number):
            conn = await tcp.make().dial(world.callers, 1.0)
            fields = [
                (b"host", b"h.example"),
                (b"attempt-id", b"body%d" % number),
                (b"deadline-ms", b"8000"),
                (b"authorization", b"Bearer " + platform_world.KEY.encode()),
                (b"content-length", b"%d" % size),
            ]
            await conn.send(h11.Request(method="POST", target="/order/x", headers=fields))
            try:
                for _ in range(10):
                    await conn.send(h11.Data(data=b"a" * (size // 10)))
                    await trio.sleep(0.05)
                await conn.send(h11.EndOfMessage())
            except transport_error.TransportError:
                pass
            world.answers.append(await conn.read_response_head())
            await conn.close()

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call, number)


@then(
    "some of them are refused with status {status:d} and a retry-after time, "
    "and the others are answered"
)
def check_some_refused(context, status):
    @plan_step(context)
    async def step(world):
        refused = [answer for answer in world.answers if answer.status == status]
        assert all(float(answer.headers.get("retry-after")) > 0 for answer in refused), refused
        assert 0 < len(refused) < len(world.answers), [each.status for each in world.answers]
        others = {answer.status for answer in world.answers} - {status}
        assert others == {200}, others


@then("the requests have taken {limit:d} bytes at most")
def check_requests_taken(context, limit):
    @plan_step(context)
    async def step(world):
        world.restore_grow()
        assert 0 < world.request_most <= limit, world.request_most
