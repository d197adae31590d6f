#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cuminpitch-platform ] && [ -x review/bin/case-4 ] || exit 2
# timeout leads a process group of its own, which holds all that the case starts.
timeout -s KILL 110 review/bin/case-4 review/4 &
group=$!
wait "$group"
status=$?
kill -KILL -- "-$group" 2>/dev/null
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
