#!/bin/sh
# Builds the rig of the third review, with the project's own stand-ins in it, into target/review-3.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 && go build -o target/review-3/rig ./review/_rig3
