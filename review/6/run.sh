#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
number=$(basename "$here")
driver=$top/target/review-2/case-$number
program=$top/target/chervilspar
[ -x "$driver" ] && [ -x "$program" ] || exit 2
logs=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} timeout 110 "$driver" "$program" "$here" "$logs"
status=$?
rm -rf "$logs"
[ $status -le 1 ] && exit $status
exit 2
