"""Functions for scripts; client calls open a `Session` for one request."""

from briarfall import httpclient
from briarfall import sessions
from briarfall import settings
from briarfall.daemon import instance


def serve(cfg: settings.Settings) -> instance.Instance:
    """Starts an instance and returns it."""
    inst = instance.Instance(cfg)
    inst.start()
    return inst


def complete(url: str, key: str, model: str, prompt: str, **options) -> str:
    """Returns the complete text that a model generates for a prompt."""
    with sessions.Session(url, key) as session:
        return session.complete(model, prompt, **options).text


def call(
    url: str, key: str, service: str, path: str, body: bytes = b"", **options
) -> httpclient.Reply:
    """Calls a plain service and returns its response."""
    with sessions.Session(url, key) as session:
        return session.call(service, path, body, **options)
