#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/case-$(basename "$folder").cjs
[ -f target/rosedeck.cjs ] && [ -f "$program" ] || exit 2
timeout 115 node "$program" "$folder" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' TERM INT
wait "$child"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
