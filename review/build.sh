#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -trimpath -o target/review/standins ./review
