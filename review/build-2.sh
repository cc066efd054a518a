#!/bin/sh
# Builds the stand-ins of the scripted cases of the second review into target/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
