#!/bin/bash
# Builds the stand-ins of the second review's scripts into target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review2 ./review/standins-2
