#!/bin/sh
# A stream that another machine passed on goes on at an engine of another software version.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustarddale ] && [ -f target/review-2/StreamScript.class ] || exit 2
exec java -Xmx512m -cp target/review-2 StreamScript review/7
