#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without its disruption. Exits with 0: the rule held, 1: broken, 2: could not run. All
# processes are in one group, which is ended also if this script is.
set -m
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/release/oatloom" ] && [ -x "$root/target/review-3/cases" ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$root/target/review-3/cases" cleared-room "$root/target/release/oatloom" record.txt &
group=$!
finish() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
