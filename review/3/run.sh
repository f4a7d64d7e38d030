#!/usr/bin/env bash
# Case 3; TROUBLE=0 gives the new team a name without a space.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/camphorwall-platform ] || exit 2
exec target/review/cases names review/3
