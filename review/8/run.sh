#!/usr/bin/env bash
# Runs the case; TROUBLE=0 runs it without its disruption. Exits with 0: the rule held, 1: broken, 2: could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/release/oatloom" ] && [ -x "$root/target/review-3/cases" ] || exit 2
exec "$root/target/review-3/cases" cleared-room "$root/target/release/oatloom" record.txt
