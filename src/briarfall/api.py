"""Verbs for scripts; each opens a `Session` for one call."""

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
    """Returns the text of a whole answer."""
    with sessions.Session(url, key) as session:
        return session.complete(model, prompt, **options).text


def call(
    url: str, key: str, service: str, path: str, body: bytes = b"", **options
) -> httpclient.Reply:
    """Calls a plain service."""
    with sessions.Session(url, key) as session:
        return session.call(service, path, body, **options)
