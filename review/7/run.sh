#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-3/CutOffScript.class ] || [ ! -f target/mustarddale ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
exec java -cp target/review-3 CutOffScript review/7/record.txt
