#!/bin/sh
# Builds the stand-ins and the drivers of the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
