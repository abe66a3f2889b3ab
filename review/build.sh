#!/bin/bash
# Builds the stand-ins of the cases into review/bin, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standin .
