#!/usr/bin/env bash
# Case 4; TROUBLE=0 runs it with a sound way to the store.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/camphorwall-platform ] || exit 2
exec target/review/cases flaky review/4
