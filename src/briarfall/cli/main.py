"""Entry point of the command line.

Commands import expensive modules only when they run.
"""

import sys

import defopt

from briarfall import exceptions
from briarfall.cli import benches
from briarfall.cli import catalogue
from briarfall.cli import console
from briarfall.cli import explanation
from briarfall.cli import gateways
from briarfall.cli import serve
from briarfall.cli import timeline

COMMANDS = {
    "serve": serve.serve,
    "check": serve.check,
    "status": serve.status,
    "drain": serve.drain,
    "key": {"new": serve.new_key, "hash": serve.hash_key},
    "catalogue": {
        "list": catalogue.list_entries,
        "get": catalogue.get,
        "put": catalogue.put,
        "delete": catalogue.delete,
        "history": catalogue.history,
        "diff": catalogue.diff,
        "bootstrap": catalogue.bootstrap,
    },
    "explain": explanation.explain,
    "timeline": timeline.timeline,
    "gateway-status": gateways.gateway_status,
    "demo": benches.demo,
    "standin": benches.standin,
    "bench": benches.BENCHES,
}


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    try:
        result = defopt.run(COMMANDS, argv=argv)
    except exceptions.BriarfallError as exc:
        console.report_error(exc)
        return int(console.exit_code(exc))
    except KeyboardInterrupt:
        return int(console.ExitCode.FAILED)
    except BrokenPipeError:
        sys.stderr.close()
        return int(console.ExitCode.FAILED)
    return int(result or console.ExitCode.OK)


if __name__ == "__main__":
    sys.exit(main())
