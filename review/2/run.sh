#!/usr/bin/env bash
# Case 2; TROUBLE=0 runs it without the faulty answers.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/camphorwall-platform ] || exit 2
exec target/review/cases endless review/2
