#!/usr/bin/env bash
# Runs the case of a folder: run.sh FOLDER. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout -k 5 115 "$program" "$folder/record.txt"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
