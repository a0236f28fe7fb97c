#!/usr/bin/env bash
# Measures one instance in isolation. The stand-ins, the instance and the
# callers run in separate processes, so that they do not share an interpreter
# lock.
set -euo pipefail
cd "$(dirname "$0")/.."
run=.venv/bin/briarfall
work=$(mktemp -d)
$run standin relay-scene --seconds 300 > "$work/scene" &
scene=$!
trap 'kill $scene ${serve:-} 2>/dev/null || true; rm -rf "$work"' EXIT
until [ -s "$work/scene" ]; do sleep 0.1; done
cat > "$work/settings.json" <<JSON
{"instance": "router-1", "zone": "suva", "log_url": "$(head -1 "$work/scene")",
 "secret": "0123456789abcdef", "drain_grace_s": 2, "drain_notice_s": 0}
JSON
$run serve "$work/settings.json" --no-verbose > "$work/serve" &
serve=$!
until [ -s "$work/serve" ]; do sleep 0.1; done
url=$(awk '{print $2}' "$work/serve")
sleep 1
$run bench relay "$url" "$serve" "$@"
