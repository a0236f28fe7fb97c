"""Checks of model layouts and of the aims of routes to them."""

import collections.abc

from briarfall.gateway.catalogue import configfindings
from briarfall.gateway.catalogue import routechecks
from briarfall.gateway.catalogue import views

_Code = configfindings.Code
_Findings = collections.abc.Iterator[configfindings.Finding]
_BYTES_PER_MB = 1e6


def check_models(cfg: configfindings.Configuration) -> _Findings:
    """Yields the findings of all models and of the routes to them."""
    models: dict[views.ServiceName, views.ModelLayout] = {}
    for service in cfg.services:
        if service.model is None:
            continue
        models[service.name] = service.model
        subject = configfindings.named("service", service.name)
        yield from _check_memory(service.model, subject)
        if service.model.slots == 0:
            yield configfindings.Finding(
                _Code.NO_SLOTS,
                subject,
                "slots",
                "0",
                "1 or more",
                "engines that tell no slots of their own run no request",
                "set the requests that an engine runs at once",
            )
    for route in cfg.routes:
        for name in sorted(routechecks.reached_services(route)):
            if name in models and models[name].kinds:
                yield from _check_aims(route, name, models[name])


def _check_memory(model: views.ModelLayout, subject: str) -> _Findings:
    if not model.kinds:
        yield configfindings.Finding(
            _Code.NO_ACCELERATORS,
            subject,
            "kinds",
            "none",
            "a kind of accelerator that holds layers",
            "no engine of the service can hold layers",
            "describe the accelerators of the service",
        )
        return
    small = []
    for name, kind in model.kinds.items():
        if kind.memory_mb < model.layer_mb:
            small.append(name)
    if len(small) == len(model.kinds):
        largest_mb = max(kind.memory_mb for kind in model.kinds.values())
        yield configfindings.Finding(
            _Code.UNPLACEABLE_LAYERS,
            subject,
            "layer_mb",
            f"{model.layer_mb:g} MB",
            f"at most {largest_mb:g} MB, the largest kind of accelerator",
            "no engine can hold a layer, so no request is served",
            "correct the size of a layer or the memory of the accelerators",
        )
        return
    for name in small:
        yield configfindings.Finding(
            _Code.ACCELERATOR_TOO_SMALL,
            subject,
            "memory_mb",
            f"{model.kinds[name].memory_mb:g} MB of kind {name}",
            f"at least {model.layer_mb:g} MB, one layer",
            "engines of this kind stay empty",
            "correct the memory or remove the kind",
        )
    yield from _check_request_memory(model, subject)


def _check_request_memory(model: views.ModelLayout, subject: str) -> _Findings:
    """Yields a finding if no kind can hold a layer and a usual request."""
    tokens = model.mean_prompt_tokens + model.mean_answer_tokens
    request_mb = tokens * model.kv_bytes / model.layers / _BYTES_PER_MB
    free_mb = max(kind.memory_mb for kind in model.kinds.values())
    free_mb -= model.layer_mb
    if request_mb <= free_mb:
        return
    yield configfindings.Finding(
        _Code.REQUEST_ABOVE_MEMORY,
        subject,
        "kv_bytes",
        f"{request_mb:g} MB of KV cache in a layer for a usual request",
        f"at most {free_mb:g} MB, the largest kind beside one layer",
        "engines refuse a usual request as larger than their memory",
        "correct the sizes, or use accelerators with more memory",
    )


def _check_aims(
    route: views.Route, name: str, model: views.ModelLayout
) -> _Findings:
    """Yields findings if no accelerator of a model can meet the aims."""
    subject = configfindings.route_name(route)
    prefill_s = model.mean_prompt_tokens / model.prefill_tokens_per_s
    prefill_s *= min(kind.prefill_factor for kind in model.kinds.values())
    if 0 < route.first_byte_slo_s < prefill_s:
        yield configfindings.Finding(
            _Code.AIM_BELOW_PREFILL,
            subject,
            "first_byte_slo_s",
            configfindings.seconds(route.first_byte_slo_s),
            f"at least {configfindings.seconds(prefill_s)}, the prefill of a "
            f"usual prompt on the fastest kind of {name}",
            "usual requests are late on all accelerators",
            "raise the aim or correct the model's times",
        )
    step_s = model.step_ms * min(
        kind.step_factor for kind in model.kinds.values()
    )
    step_s = (step_s + model.sequence_ms) / 1000
    if 0 < route.event_gap_slo_s < step_s:
        yield configfindings.Finding(
            _Code.GAP_AIM_BELOW_STEP,
            subject,
            "event_gap_slo_s",
            configfindings.seconds(route.event_gap_slo_s),
            f"at least {configfindings.seconds(step_s)}, a decode step on the "
            f"fastest kind of {name}",
            "streams are late on all accelerators",
            "raise the aim for pauses or correct the model's times",
        )
