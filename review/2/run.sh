#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case2 ] && [ -x target/linenscaled ] || exit 2
timeout -k 5 115 target/review/case2 -record review/2/record.txt "$@"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
