#!/usr/bin/env bash
# Shows a local system at work within 60 s; ends with a non-zero code when a step goes wrong.
. "$(dirname "$0")/local.sh"
trap stop_all EXIT
trap 'exit 130' INT TERM

limit=$((SECONDS + 60))
failed=0
cli=bin/teaselloft

# step TEXT PATTERN COMMAND...: runs a command and looks for a pattern in its output, whatever its exit code.
step() {
  local text=$1 pattern=$2 out
  shift 2
  out=$("$@" 2>&1 </dev/null) || true
  if grep -Eq -- "$pattern" <<<"$out"; then
    echo "ok    $text"
  else
    echo "FAIL  $text: no \"$pattern\" in:"
    head -n 12 <<<"$out" | sed 's/^/      /'
    failed=1
  fi
}

# await TEXT PATTERN COMMAND...: repeats a command until its output has the pattern.
await() {
  local text=$1 pattern=$2
  shift 2
  until "$@" 2>&1 </dev/null | grep -Eq -- "$pattern"; do
    if [ $SECONDS -ge $limit ]; then
      echo "FAIL  $text: no \"$pattern\" after 60 s in:"
      "$@" 2>&1 </dev/null | head -n 12 | sed 's/^/      /'
      failed=1
      return 0
    fi
    sleep 0.2
  done
  echo "ok    $text"
}

start_all
first=127.0.0.1:$((port + 1)) second=127.0.0.1:$((port + 2))

step "the configuration is valid" "" $cli check "$base" "$overlay"
step "the right name is answered" "answered" $cli request --entry $first GET flag-calendar/today
step "a misspelled name is corrected" "flag-calender>flag-calendar" $cli request --entry $second GET flag-calender/today
step "an unknown name is refused as not run" "not-run" $cli request --entry $first GET weather/today
step "a notice runs" "answered" $cli request --entry $first --key demo-1 --data "half mast" POST flag-notices/declare
step "the same notice again gets the same answer" "answered" $cli request --entry $second --key demo-1 --data "half mast" POST flag-notices/declare
step "the correction is counted" "flag-calender" $cli status --operator 127.0.0.1:$((port + 202))
step "an explanation names the rule" "correction" $cli explain flag-calender

step "an instance moves to the spare pool" "cal-12" $cli instance move cal-12 backoffice
await "the instance has arrived" "cal-12 +backoffice .*serving" $cli instance list

sed 's/"available": 9/"available": 7/' "$base" >"$dir/changed.json"
step "a changed configuration is accepted" "2" $cli apply --author demo "$dir/changed.json" "$overlay"
await "it is in force everywhere" "^($entries)$" bash -c "$cli status --config --output json | grep -c '\"config\": 2'"

step "a wave is planned" "cal-" $cli maintenance plan --pool calendar --rack a1 --drain 1s --reboot 2s
step "the wave starts" "demo-wave" $cli maintenance start --pool calendar --rack a1 --drain 1s --reboot 2s demo-wave
await "the wave is done" "is done" $cli maintenance status demo-wave
if [ $failed != 0 ]; then
  for i in $(seq "$entries"); do $cli dump --operator 127.0.0.1:$((port + 200 + i)) | grep -A60 '"blocked"' | head -n 70; done
fi
step "requests are still answered" "answered" $cli request --entry $first GET flag-calendar/today

[ $failed = 0 ] && echo "demo finished in $SECONDS s"
exit $failed
