"""Structured logs over absl.logging."""

import json
import logging as std_logging
import re

from absl import logging

_FIELD = re.compile(r"\b([a-z_]+)=(\S+)")


class JsonFormatter(std_logging.Formatter):
    """Writes one JSON object a line; `key=value` pairs become fields."""

    def __init__(self, instance: str):
        super().__init__()
        self._instance = instance

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the line for a record."""
        message = record.getMessage()
        line = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "message": message,
            **dict(_FIELD.findall(message)),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(instance: str, *, as_json: bool, verbose: bool) -> None:
    """Sends logs to standard error in the chosen form."""
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.use_absl_log_file = lambda *args, **kwargs: None
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    logging.set_stderrthreshold("debug")
    std_logging.getLogger("websockets").setLevel(std_logging.WARNING)
    std_logging.getLogger("urllib3").setLevel(std_logging.ERROR)
    if as_json:
        handler.setFormatter(JsonFormatter(instance))
