"""Bodies of completion responses, in OpenAI's form."""

import msgspec


class Choice(msgspec.Struct):
    """One answer in a response, or a piece of it in an event."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Tokens that a request used."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct):
    """The body of a response, in OpenAI's form."""

    id: str
    model: str
    created: int
    choices: list[Choice]
    usage: Usage | None = None
    object: str = "text_completion"
