"""Body of a chat completion request in OpenAI format."""

from typing import Any, Literal

import pydantic as pd
from pydantic import Field
from result import Err, Ok, Result

from bronzeglade.outcome import Refusal


class Message(pd.BaseModel):
    """A message of the conversation."""

    model_config = pd.ConfigDict(extra='forbid')

    role: Literal[
        'system', 'developer', 'user', 'assistant', 'tool', 'function'
    ]
    content: str | list[dict[str, Any]] | None = None
    name: str | None = None
    tool_calls: list[dict[str, Any]] | None = None
    tool_call_id: str | None = None
    refusal: str | None = None


class StreamOptions(pd.BaseModel):
    """Options of a streamed answer."""

    model_config = pd.ConfigDict(extra='forbid')

    include_usage: bool = False


class ChatRequest(pd.BaseModel):
    """A chat completion request; unknown fields are rejected."""

    model_config = pd.ConfigDict(extra='forbid')

    model: str = Field(min_length=1, max_length=200)
    messages: list[Message] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(None, ge=1)
    max_completion_tokens: int | None = Field(None, ge=1)
    temperature: float | None = Field(None, ge=0, le=2)
    top_p: float | None = Field(None, ge=0, le=1)
    n: Literal[1] | None = None  # noqa: WPS111
    stop: str | list[str] | None = None
    seed: int | None = None
    user: str | None = None
    presence_penalty: float | None = Field(None, ge=-2, le=2)
    frequency_penalty: float | None = Field(None, ge=-2, le=2)
    logit_bias: dict[str, float] | None = None
    logprobs: bool | None = None
    top_logprobs: int | None = Field(None, ge=0, le=20)
    response_format: dict[str, Any] | None = None
    tools: list[dict[str, Any]] | None = None
    tool_choice: str | dict[str, Any] | None = None
    parallel_tool_calls: bool | None = None
    metadata: dict[str, str] | None = None
    store: bool | None = None
    reasoning_effort: str | None = None
    service_tier: str | None = None

    def wants_usage(self) -> bool:
        """Return whether a streamed answer is to end with its usage."""
        return bool(self.stream_options and self.stream_options.include_usage)

    def engine_body(self, model: str, version: str) -> dict[str, Any]:
        """Return the body of the request to an engine.

        Args:
          model: name of the model that answers.
          version: version of the model.
        """
        body = self.model_dump(exclude_none=True, exclude={'stream_options'})
        return {**body, 'model': f'{model}@{version}'}


def parse(body: bytes) -> Result[ChatRequest, Refusal]:
    """Parse and validate the body of a request.

    Args:
      body: JSON text as received.

    Returns:
      The request, or a refusal with status 400 or 422; its message lists the
      first 10 errors.
    """
    try:
        return Ok(ChatRequest.model_validate_json(body))
    except pd.ValidationError as failure:
        errors = failure.errors(include_url=False, include_input=False)
    if errors[0]['type'] == 'json_invalid':
        message = f'the body is not JSON: {errors[0]["msg"]}'
        return Err(Refusal(400, 'invalid_json', message))
    described = [
        '{0}: {1}'.format('.'.join(map(str, error['loc'])), error['msg'])
        for error in errors[:10]
    ]
    return Err(Refusal(422, 'invalid_request', '; '.join(described)))
