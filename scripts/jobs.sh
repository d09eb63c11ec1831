#!/usr/bin/env bash
# Starts a local site that runs jobs: stand-ins for the users' platform and daemons, until Ctrl-C.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
daemons=${DAEMONS:-3}
port=${PORT:-9000}
dir=$(mktemp -d "${TMPDIR:-/tmp}/teaselloft.XXXXXX")
pids=()

stop_all() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

bin/standin site --dir "$dir" --daemons "$daemons" --port "$port" >"$dir/site.log" 2>&1 &
pids+=($!)
for n in $(seq "$daemons"); do
  until [ -s "$dir/daemon-$n.json" ]; do sleep 0.05; done
  TEASELLOFT_BOOT="$dir/daemon-$n.json" bin/teaselloft node >"$dir/daemon-$n.log" 2>&1 &
  pids+=($!)
done
for n in $(seq "$daemons"); do
  for _ in $(seq 200); do
    curl -fs "http://127.0.0.1:$((port + 29 + n))/readyz" >/dev/null && break
    sleep 0.1
  done
done
url=http://127.0.0.1:$((port + 10))/notices
cat <<TXT
$daemons daemons are ready; logs are in $dir. In another terminal:

  # a job of two steps: three tasks of 1 s, then one
  curl -i -H 'Host: flags.example' -d '{"spec":"1s","pipeline-steps":[{"count":3,"cpu":1000,"mem-mb":64,"estimate-ms":1000},{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":1000,"after":[0]}]}' $url/5c0e7a21d94b36f8
  # its state, at another daemon
  curl -s -H 'Host: flags.example' http://127.0.0.1:$((port + 11))/notices/5c0e7a21d94b36f8
  # jobs that have not begun
  curl -s -H 'Host: flags.example' $url/
  # metrics and state of a daemon
  curl -s http://127.0.0.1:$((port + 70))/metrics
  curl -s http://127.0.0.1:$((port + 70))/dump
TXT
wait
