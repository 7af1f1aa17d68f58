#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/stand3 ./review/third/standin
