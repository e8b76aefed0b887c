"""What is published of a model engine."""

from __future__ import annotations

import msgspec


class Model(msgspec.Struct, frozen=True):
    """A model and the groups that serve it.

    :ivar size: targets of one group.
    :ivar share: part of the targets that its groups should have.
    :ivar time_factor: factor on all times of its groups.
    :ivar load_seconds: join of a target that has to load the weights.
    :ivar warm_seconds: join of a target that has them staged.
    """

    name: str
    size: int
    share: float
    time_factor: float
    load_seconds: float
    warm_seconds: float


class Engine(msgspec.Struct, frozen=True):
    """Constants of a service's engines.

    :ivar slots: requests that a group runs at once.
    :ivar stride: token steps between two events of a stream.
    :ivar step_seconds: one token step without requests.
    :ivar decode_seconds_per_request: added to a step for each request that is writing.
    :ivar prefill_tokens_per_second: speed at which prompts are read.
    :ivar loads_per_second: loads from the weight store that may begin.
    :ivar mean_prompt_tokens: mean of all requests, as are the answer's.
    :ivar loads_at_once: loads beyond these slow each other down.
    :ivar form_seconds: from the command to open a group until it serves.
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
        """Return the model of a name."""
        return next((model for model in self.models if model.name == name), None)

    def pass_seconds(self, model: Model, decoding: int) -> float:
        """Return the time between two events of a stream beside other writers."""
        step = self.step_seconds + self.decode_seconds_per_request * decoding
        return self.stride * step * model.time_factor
