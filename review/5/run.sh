#!/usr/bin/env bash
# Plays the case "lasting". Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in teaselloft review-standin; do
  [ -x "$root/target/$program" ] || { echo "target/$program is not built" >&2; exit 2; }
done
exec "$root/target/review-standin" -case lasting -root "$root" -record "$here/record.txt"
