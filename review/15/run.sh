#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/berylspringd ] && [ -x target/review-3/case-15 ] || exit 2
timeout -k 1 118 target/review-3/case-15 review/15/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
