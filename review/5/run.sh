#!/bin/sh
# A machine freezes and a release begins; clients take their streams up at other machines.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/mustarddale ] && [ -e target/mustarddale.jsa ] || exit 2
[ -e target/review/StreamsTakenUp.class ] || exit 2
exec java -Xmx1g -cp target/review StreamsTakenUp "review/5"
