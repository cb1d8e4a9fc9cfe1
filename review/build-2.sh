#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The program itself is built by the deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/rig2 ./review/_rig2
