#!/usr/bin/env bash
# Checks format, the catalogues of results and events, and (with --lint) clang-tidy on all sources.
#   tools/check_style.sh [--lint] [--build DIR] [FILE ...]
set -euo pipefail
cd "$(dirname "$0")/.."

lint=0
build=build
while [ $# -gt 0 ]; do
  case "$1" in
    --lint) lint=1; shift ;;
    --build) build=$2; shift 2 ;;
    --help) sed -n '2,3p' "$0"; exit 0 ;;
    *) break ;;
  esac
done

bad=0
mapfile -t all < <(git ls-files '*.h' '*.cpp')
clang-format --dry-run --Werror "${all[@]}" || bad=1

# compare_catalogue DEF MACRO PAGE: the numbers in the code and the page must be the same.
compare_catalogue() {
  local code page
  code=$(sed -n "s/^$2(\([0-9]*\),.*/\1/p" "include/mustardwinch/$1")
  page=$(sed -n 's/^| \([0-9][0-9]*\) |.*/\1/p' "docs/$3")
  if [ "$(sort -n <<<"$code" | uniq -d)" != "" ]; then
    echo "$1: a number stands twice"
    bad=1
  fi
  if ! diff <(sort -n <<<"$code") <(sort -n <<<"$page"); then
    echo "docs/$3 and $1 list different numbers"
    bad=1
  fi
}
compare_catalogue ResultCodes.def MW_RESULT ERRORS.md
compare_catalogue Events.def MW_EVENT EVENTS.md

if [ "$lint" = 1 ]; then
  files=("$@")
  [ ${#files[@]} != 0 ] || mapfile -t files < <(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp')
  printf '%s\0' "${files[@]}" | xargs -0 -n 2 -P "$(nproc)" clang-tidy -p "$build" --quiet 2>/dev/null || bad=1
fi
[ "$bad" = 0 ] && echo "style: ok"
exit "$bad"
