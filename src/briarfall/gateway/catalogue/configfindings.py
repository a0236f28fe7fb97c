"""Configurations as they were written, and what a check finds in them."""

import enum

import msgspec

from briarfall import decoding
from briarfall.gateway.catalogue import views

# Characters of a key that a message shows; shorter keys are not shown at all.
_SHOWN_KEY_CHARS = 4
_MIN_SHOWN_KEY_CHARS = 16


class AccountKeys(msgspec.Struct, frozen=True):
    """A client account with all its keys."""

    account: views.ClientAccount
    keys: tuple[str, ...]


class Configuration(msgspec.Struct, frozen=True):
    """A decoded configuration in the order in which it was written.

    A catalogue view indexes its parts and keeps one of several with the same
    name; a check needs all of them.

    Attributes:
        version: Version of the configuration.
        routes: All routes.
        services: All services.
        accounts: All client accounts, or None if callers need no key.
        limits: Limits of callers' requests.
    """

    version: int
    routes: tuple[views.Route, ...]
    services: tuple[views.Service, ...]
    accounts: tuple[AccountKeys, ...] | None
    limits: views.CallerLimits

    def view(self) -> views.CatalogueView:
        """Returns the view that instances use."""
        keys = {}
        for row in self.accounts or ():
            for key in row.keys:
                keys[key] = row.account
        return views.build_view(
            self.version,
            list(self.routes),
            list(self.services),
            keys,
            has_accounts=self.accounts is not None,
            limits=self.limits,
        )


class Severity(enum.Enum):
    """How bad a finding is."""

    # A part is refused or dropped, or no request of it can be served.
    ERROR = "error"
    # The configuration is used as it is, but hardly as it was meant.
    WARNING = "warning"


class Code(enum.Enum):
    """What was found; the values are stable."""

    # Refused or dropped.
    UNDECODABLE = "undecodable"
    REFUSED_ENTRY = "refused_entry"
    REPLACED_VALUE = "replaced_value"
    IGNORED_SERVICE = "ignored_service"
    DUPLICATE_SERVICE = "duplicate_service"
    SHARED_KEY = "shared_key"
    MISSPELT_FIELD = "misspelt_field"
    VERSION_NOT_NEWER = "version_not_newer"
    # Entries that can't match or serve.
    HIDDEN_ROUTE = "hidden_route"
    HOST_WITH_CAPITALS = "host_with_capitals"
    UNMATCHABLE_HOST = "unmatchable_host"
    UNMATCHABLE_PREFIX = "unmatchable_prefix"
    PREFIX_WITHOUT_SLASH = "prefix_without_slash"
    DUPLICATE_ROUTE_NAME = "duplicate_route_name"
    NO_SERVICE = "no_service"
    UNKNOWN_SERVICE = "unknown_service"
    UNREACHED_SERVICE = "unreached_service"
    SPLIT_WITHOUT_WEIGHT = "split_without_weight"
    WEIGHTLESS_SHARE = "weightless_share"
    REPEATED_SHARE = "repeated_share"
    DUPLICATE_ACCOUNT = "duplicate_account"
    UNUSABLE_ACCOUNT_NAME = "unusable_account_name"
    ACCOUNT_WITHOUT_KEYS = "account_without_keys"
    NO_KEYS = "no_keys"
    EMPTY_KEY = "empty_key"
    UNUSABLE_KEY = "unusable_key"
    REPEATED_KEY = "repeated_key"
    # Limits that contradict each other.
    NO_TIMEOUT = "no_timeout"
    AIM_ABOVE_TIMEOUT = "aim_above_timeout"
    GAP_AIM_ABOVE_TIMEOUT = "gap_aim_above_timeout"
    GAP_AIM_WITHOUT_STREAM = "gap_aim_without_stream"
    RESUMABLE_WITHOUT_STREAM = "resumable_without_stream"
    NO_ATTEMPTS = "no_attempts"
    ATTEMPTS_OF_SINGLE_RUN = "attempts_of_single_run"
    PRIORITY_OUT_OF_RANGE = "priority_out_of_range"
    NO_HEADER_BYTES = "no_header_bytes"
    HEADER_LIMIT_ABOVE_BODY_LIMIT = "header_limit_above_body_limit"
    IDLE_BELOW_HEADER_TIMEOUT = "idle_below_header_timeout"
    # Model engines.
    NO_ACCELERATORS = "no_accelerators"
    UNPLACEABLE_LAYERS = "unplaceable_layers"
    ACCELERATOR_TOO_SMALL = "accelerator_too_small"
    NO_SLOTS = "no_slots"
    REQUEST_ABOVE_MEMORY = "request_above_memory"
    AIM_BELOW_PREFILL = "aim_below_prefill"
    GAP_AIM_BELOW_STEP = "gap_aim_below_step"


_ERRORS = frozenset(
    (
        Code.UNDECODABLE,
        Code.REFUSED_ENTRY,
        Code.REPLACED_VALUE,
        Code.IGNORED_SERVICE,
        Code.DUPLICATE_SERVICE,
        Code.SHARED_KEY,
        Code.VERSION_NOT_NEWER,
        Code.UNMATCHABLE_HOST,
        Code.UNMATCHABLE_PREFIX,
        Code.NO_SERVICE,
        Code.UNKNOWN_SERVICE,
        Code.SPLIT_WITHOUT_WEIGHT,
        Code.UNUSABLE_ACCOUNT_NAME,
        Code.NO_KEYS,
        Code.EMPTY_KEY,
        Code.NO_TIMEOUT,
        Code.NO_HEADER_BYTES,
        Code.NO_ACCELERATORS,
        Code.UNPLACEABLE_LAYERS,
    )
)


class Finding(msgspec.Struct, frozen=True):
    """One finding of a check.

    Attributes:
        code: What was found.
        subject: The entry, such as `route r-1`.
        field: Name of the field in the view's structures, or empty.
        value: The value as it was written, without secrets.
        expectation: What is expected instead.
        effect: What the value leads to.
        remedy: What the operator can do.
    """

    code: Code
    subject: str
    field: str
    value: str
    expectation: str
    effect: str
    remedy: str

    @property
    def severity(self) -> Severity:
        """Severity of the code."""
        if self.code in _ERRORS:
            return Severity.ERROR
        return Severity.WARNING


def excerpt(name: str) -> str:
    """Returns the printable start of a name."""
    return decoding.excerpt(name)


def named(kind: str, name: str) -> str:
    """Returns the printable name of an entry, such as `route r-1`."""
    return f"{kind} {decoding.excerpt(name)}"


def route_name(route: views.Route) -> str:
    """Returns the name of a route for messages."""
    return named("route", route.name)


def masked(key: str) -> str:
    """Returns what a message may show of a key."""
    if len(key) < _MIN_SHOWN_KEY_CHARS:
        return f"a key of {len(key)} characters"
    start = ascii(key[:_SHOWN_KEY_CHARS])[1:-1]
    return f"{start}... ({len(key)} characters)"


def seconds(value_s: float) -> str:
    """Returns a time for messages."""
    return f"{value_s:g} s"
