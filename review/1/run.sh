#!/bin/sh
# Plays the case, and writes record.txt beside this file. Exit code: 0 the rule held, 1 it was broken, 2 the case could
# not run. TROUBLE=0 leaves the disruption out. The player kills its processes when it ends, also after a failure.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/liftrouter target/review/release/cut; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
timeout 110 target/review/release/cut "review/1/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
