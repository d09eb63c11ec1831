#!/usr/bin/env bash
# Runs a local system until interrupted.
. "$(dirname "$0")/local.sh"
trap stop_all EXIT
trap 'exit 0' INT TERM

start_all
echo "platform stand-in  $TEASELLOFT_PLATFORM"
for file in "$dir"/endpoint-*.json; do echo "endpoint stand-in  $(basename "$file" .json)"; done
for i in $(seq "$entries"); do
  echo "entry-$i            callers http://127.0.0.1:$((port + i))  operators http://127.0.0.1:$((port + 200 + i))"
done
cat <<TXT

Try:
  curl -i http://127.0.0.1:$((port + 1))/flag-calendar/today
  curl -i http://127.0.0.1:$((port + 2))/flag-calender/today
  curl -i -X POST -H 'Idempotency-Key: notice-1' -d 'half mast' http://127.0.0.1:$((port + 1))/flag-notices/declare
  curl -s -H 'Authorization: Bearer $TEASELLOFT_TOKEN' http://127.0.0.1:$((port + 201))/dump
Logs: $dir    Stop: Ctrl-C
TXT
wait
