#!/bin/sh
# Compiles the stand-ins of the review's scripts into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standin/*.java
