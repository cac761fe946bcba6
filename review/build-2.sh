#!/bin/sh
# Builds the stand-ins and the drivers of the scripts of the second review into target/review-2 and
# target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
javac --release 17 -d target/review-2 review/standin-2/*.java
javac --release 17 -d target/review-3 review/standin-3/*.java
