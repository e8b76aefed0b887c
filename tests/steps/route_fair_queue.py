"""Steps for the fair queue, with a naive queue that keeps only the history."""

from __future__ import annotations

import hypothesis
from behave import given, then
from hypothesis import strategies

from galenavane.route import fair_queue, grant, queued_request

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150, print_blob=False
)


def make_item(number, account="a", priority=1, tokens=10, weight=1.0, deadline=100.0):
    """Build a waiting request."""
    req = grant.RoutingRequest(
        f"{number:04d}", account, "s", "m", "1", "", priority, "", tokens, 0, deadline
    )
    return queued_request.QueuedRequest(req, [], set(), weight, float(number))


def naive_tags(history):
    """Replay a history of (operation, item); return the start tags of the queued items."""
    tags, finish, virtual = {}, {}, {}
    for operation, item in history:
        priority, queue_key = item.request.priority, (item.request.priority, item.request.account)
        if operation == "push":
            tags[item] = max(virtual.get(priority, 0.0), finish.get(queue_key, 0.0))
            finish[queue_key] = tags[item] + item.cost() / item.weight
            continue
        tag = tags.pop(item)
        if operation == "pop":
            virtual[priority] = max(virtual.get(priority, 0.0), tag)
        else:
            refund = item.cost() / item.weight
            finish[queue_key] -= refund
            for other in tags:
                is_later = other.request.request_id > item.request.request_id
                if (other.request.priority, other.request.account) == queue_key and is_later:
                    tags[other] -= refund
        if not any(other.request.priority == priority for other in tags):
            virtual.pop(priority, None)
            finish = {key: value for key, value in finish.items() if key[0] != priority}
    return tags


def naive_head(history):
    """Return the item that the naive queue serves next, or ``None``."""
    tags = naive_tags(history)
    order = sorted(
        tags,
        key=lambda item: (
            item.request.priority,
            tags[item],
            item.arrived_at,
            item.request.request_id,
        ),
    )
    return order[0] if order else None


@then(
    "after random pushes, pops and removals the fair queue and the naive one serve in the same "
    "order"
)
def compare_queues(context):
    operation = strategies.tuples(
        strategies.sampled_from(["push", "push", "pop", "remove"]),
        strategies.sampled_from("abc"),
        strategies.integers(0, 2),
        strategies.sampled_from([1, 8, 64]),
        strategies.integers(0, 50),
    )

    @SETTINGS
    @hypothesis.given(strategies.lists(operation, max_size=40))
    def check(operations):
        queue, history, queued = fair_queue.FairQueue(), [], []
        for number, (kind, account, priority, tokens, index) in enumerate(operations):
            if kind == "push":
                weight = 2.0 if account == "b" else 1.0
                item = make_item(number, account, priority, tokens, weight)
                queue.push(item)
                queued.append(item)
            elif not queued:
                continue
            elif kind == "pop":
                item = queue.peek()
                queue.pop(item)
                queued.remove(item)
            else:
                item = queued.pop(index % len(queued))
                queue.remove(item)
            history.append((kind, item))
            assert queue.peek() is naive_head(history)
            assert queue.size == len(queued)

    check()


@given('a fair queue with {count:d} requests of account "{account}"')
def fill_queue(context, count, account):
    context.queue = fair_queue.FairQueue()
    for number in range(count):
        context.queue.push(make_item(number, account))


@given('{count:d} requests of account "{account}" pushed to the fair queue later')
def push_later(context, count, account):
    for number in range(count):
        context.queue.push(make_item(1000 + number, account))


@given("a fair queue request of the highest class")
def push_highest_class(context):
    context.queue.push(make_item(2000, "other", priority=0))


@then('the fair queue serves all {count:d} of account "{account}" within {pops:d} pops')
def check_served_soon(context, count, account, pops):
    served = []
    for _ in range(pops):
        item = context.queue.peek()
        context.queue.pop(item)
        served.append(item.request.account)
    assert served.count(account) == count, served


@then("the fair queue serves the request of the highest class next")
def check_highest_class_next(context):
    assert context.queue.peek().request.priority == 0
