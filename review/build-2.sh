#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Run it in the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/standin2 .
