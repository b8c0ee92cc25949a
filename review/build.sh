#!/usr/bin/env bash
# Builds the program that runs the scripted cases: the stand-ins of the platform, its workers and
# its clients. It needs no network beyond what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -tags review -ldflags=-linkmode=external -o target/review-kit ./review/kit
