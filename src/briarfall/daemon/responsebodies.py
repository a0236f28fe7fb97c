"""Bodies of completion responses in the format of the OpenAI API."""

import msgspec


class Choice(msgspec.Struct):
    """The text of a response, or the text that one event adds."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Tokens that a request used."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct):
    """The body of a response or of one event of a stream."""

    id: str
    model: str
    created: int
    choices: list[Choice]
    usage: Usage | None = None
    object: str = "text_completion"
