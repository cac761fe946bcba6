#!/bin/sh
# Builds the stand-ins in this folder into target/review-3.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/review-3
javac -d target/review-3 review/standin-3/*.java
