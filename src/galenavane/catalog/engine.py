"""Published characteristics of a service's models and engines."""

from __future__ import annotations

import msgspec


class Model(msgspec.Struct, frozen=True):
    """A model and the groups that serve it.

    :ivar size: number of targets in one group.
    :ivar share: share of the targets that its groups should have.
    :ivar time_factor: factor by which the prefill and decode times of its groups are multiplied.
    :ivar load_seconds: time to join a group for a target that has to load the weights.
    :ivar warm_seconds: time to join a group for a target that has the weights staged.
    """

    name: str
    size: int
    share: float
    time_factor: float
    load_seconds: float
    warm_seconds: float


class Engine(msgspec.Struct, frozen=True):
    """Performance constants of a service's engines.

    :ivar slots: number of requests in the batch of a group.
    :ivar stride: decode steps between two events of a stream.
    :ivar step_seconds: time of a decode step without requests.
    :ivar decode_seconds_per_request: time added to a decode step by each request in it.
    :ivar prefill_tokens_per_second: prefill throughput.
    :ivar loads_per_second: loads from the weight store that may start per second.
    :ivar loads_at_once: concurrent loads above which loads slow each other down.
    :ivar form_seconds: time from the command to open a group until it serves.
    :ivar mean_prompt_tokens: mean prompt length of all requests in tokens.
    :ivar mean_answer_tokens: mean answer length of all requests in tokens.
    """

    slots: int
    stride: int
    step_seconds: float
    decode_seconds_per_request: float
    prefill_tokens_per_second: float
    loads_per_second: float
    loads_at_once: int
    form_seconds: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    models: tuple[Model, ...]

    def find_model(self, name: str) -> Model | None:
        """Return the model with a name."""
        return next((model for model in self.models if model.name == name), None)

    def pass_seconds(self, model: Model, decoding: int) -> float:
        """Return the time in seconds between two events of a stream.

        :param decoding: number of requests in the batch that are decoding.
        """
        step = self.step_seconds + self.decode_seconds_per_request * decoding
        return self.stride * step * model.time_factor
