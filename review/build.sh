#!/bin/bash
# Builds the test programs of review/, with the stand-ins that they contain, into review/bin. They use the standard
# library alone and need no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOWORK=off go build -o bin/ ./...
