#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, without a network. The programs of the project come from the
# deploy file's build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o review/bin/standin2 ./review/standin2
