#!/usr/bin/env bash
# Case 5; TROUBLE=0 runs it with a harmless request, EVENTS=0 with a crash before the first event.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/release/camphorwall-platform ] || exit 2
exec target/review/cases harmful review/5
