#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder=$(dirname "$(realpath "$0")")
number=$(basename "$folder")
cd "$folder/../.." || exit 2
for file in target/mwsidecar "target/review-2/case-$number"; do
  [ -x "$file" ] || { echo "$file is missing"; exit 2; }
done
exec "target/review-2/case-$number" "review/$number/record.txt"
