"""An entry that starts misses a replica's leaving between two pages of the list."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import case as cases  # noqa: E402
import client  # noqa: E402
import deployment  # noqa: E402
import replica as replicas  # noqa: E402

SERVICE = "wuno96b"
REPLICAS = 69
"""As many as the site has; the store lists them in two pages of 50 at most."""
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
LINGER_SECONDS = 9.0
"""How long the leaving replica serves on after the store has accepted its report."""
RESTART_SECONDS = 0.5
CLIENTS_PER_ENTRY = 6


async def call_again_and_again(entry, ends_at, sent):
    """Send look-ups over a kept channel."""
    channel = client.Channel(entry.name, entry.callers)
    while time.monotonic() < ends_at:
        sent.append(await channel.call("GET", "/status/1", 1500))
        await asyncio.sleep(0.01)
    channel.close()


async def play(case):
    """Return whether requests reached the leaving replica too late."""
    served = [
        replicas.Replica(case.store, f"i-{number:04x}", SERVICE, 0.02) for number in range(REPLICAS)
    ]
    for each in served:
        await each.start()
    routes = [deployment.route("/status/", "idempotent", SERVICE, max_attempts=2)]
    deployment.write_config(case.store, 7, routes, [SERVICE])
    case.add_entries(2)
    await case.wait_ready()
    await asyncio.sleep(CONTACT_SECONDS + 0.5)

    leaving = served[0]
    accepted = asyncio.get_running_loop().create_future()

    def drain():
        leaving.publish("draining")
        accepted.set_result(time.monotonic())
        case.note(f"the store has accepted that {leaving.id} is draining")

    def after_page(kind, after, has_more):
        if kind != "servers":
            return
        case.note(f"the store has answered the page of the list after '{after}'")
        if has_more and not accepted.done():
            drain()

    restarted = case.entries[1]
    if case.has_trouble:
        restarted.kill()
        case.note(f"{restarted.name} is killed")
        await asyncio.sleep(RESTART_SECONDS)
        case.store.after_page = after_page
        restarted.start()
        case.note(f"{restarted.name} is started again")
    else:
        drain()
    accepted_at = await asyncio.wait_for(accepted, 10.0)
    if not await restarted.wait_ready():
        raise cases.CannotRun(f"{restarted.name} does not become ready")
    # Only requests from entries in touch count.
    in_touch_at = restarted.started_at + CONTACT_SECONDS + 0.2
    await asyncio.sleep(max(0.0, in_touch_at - time.monotonic()))
    sent = []
    ends_at = accepted_at + LINGER_SECONDS
    await asyncio.gather(
        *(
            call_again_and_again(entry, ends_at, sent)
            for entry in case.entries
            for _ in range(CLIENTS_PER_ENTRY)
        )
    )
    leaving.leave()
    case.note(f"{leaving.id} has left, and its entry is removed")

    case.note_requests(sent, served)
    by_attempt = {request.attempt: request for request in sent}
    late = [
        (at, attempt)
        for at, attempt, _ in leaving.arrivals
        if at > accepted_at + DRAIN_SECONDS and attempt in by_attempt
    ]
    for at, attempt in late:
        case.note(
            f"request {attempt}, sent to {by_attempt[attempt].entry}, reaches {leaving.id} "
            f"{at - accepted_at:.3f} s after it was accepted as draining",
            at,
        )
    answered = sum(request.response.status == 200 for request in sent)
    case.note(f"{len(sent)} requests sent, {answered} answered with 200")
    case.note(f"{len(late)} requests reached {leaving.id} more than {DRAIN_SECONDS} s later")
    return bool(late)


cases.run(FOLDER / "record.txt", play)
