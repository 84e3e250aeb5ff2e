#!/bin/sh
# Builds the stand-ins that the scripts start. It needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../../target/review-trial .
