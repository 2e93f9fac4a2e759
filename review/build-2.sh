#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10. It needs nothing but the Go tool chain and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review && GOPROXY=off CGO_ENABLED=0 go build -o ../bin/standins-2 ./standins-2)
