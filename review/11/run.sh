#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/skylarkstall ] || exit 2
scratch="$(mktemp -d)" || exit 2
trap 'rm -rf "$scratch"' EXIT
TMPDIR="$scratch" REVIEW_PROGRAM="$PWD/target/skylarkstall" REVIEW_RECORD="$PWD/review/11/record.txt" \
  timeout 115 target/review-3 -test.run '^TestReplacedRoute$' >"$scratch/output" 2>&1
status=$?
case "$status" in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
