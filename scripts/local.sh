#!/usr/bin/env bash
# Starts and stops a local system. Sourced by run.sh and demo.sh.
#
# Settings come from `standin layout`; each process writes its log to its own file in $dir.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

base=${BASE:-examples/halyard.json}
overlay=${OVERLAY:-examples/halyard-kartli.json}
entries=${ENTRIES:-3}
port=${PORT:-8080}
platform_port=${PLATFORM_PORT:-7379}
dir=$(mktemp -d "${TMPDIR:-/tmp}/teaselloft.XXXXXX")
pids=()
entry_pids=()

export TEASELLOFT_PLATFORM="http://127.0.0.1:$platform_port" TEASELLOFT_SITE=kartli
export TEASELLOFT_TOKEN=local-only TEASELLOFT_OPERATOR="127.0.0.1:$((port + 201))"

start() { # NAME BINARY: runs a process from its settings file
  "bin/$2" daemon "$dir/$1.json" >"$dir/$1.log" 2>&1 &
  case $1 in entry-*) entry_pids+=($!) ;; *) pids+=($!) ;; esac
}

# end PID...: asks processes to stop and waits until they have.
end() {
  local pid
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}

# stop_all ends the entry instances first, since they give up their duties through the platform.
stop_all() {
  trap - EXIT INT TERM
  end "${entry_pids[@]}"
  end "${pids[@]}"
  rm -rf "$dir"
}

# ready PORT SECONDS: waits until an entry instance reports ready.
ready() {
  local end=$((SECONDS + $2))
  until bin/teaselloft ready "127.0.0.1:$1" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || { echo "entry instance on port $1 is not ready" >&2; tail -n 5 "$dir"/entry-*.log >&2; return 1; }
    sleep 0.1
  done
}

start_all() {
  bin/standin layout --dir "$dir" --entries "$entries" --port "$port" --platform "$platform_port" "$base" "$overlay"
  start platform standin
  for file in "$dir"/endpoint-*.json; do start "$(basename "$file" .json)" standin; done
  for i in $(seq "$entries"); do start "entry-$i" teaselloft; done
  local end=$((SECONDS + 15))
  until bin/teaselloft apply --author local "$base" "$overlay" >"$dir/apply.log" 2>&1; do
    [ $SECONDS -lt $end ] || { cat "$dir/apply.log" >&2; return 1; }
    sleep 0.2
  done
  for i in $(seq "$entries"); do ready $((port + i)) 15; done
}
