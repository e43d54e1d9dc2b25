#!/bin/sh
# Builds the programs of the cases from 6 on and of review/more-2, stand-ins included. Needs the build of the deploy file
# beside it, and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# The stand-ins of the review before, which cases 8 and 9 play.
rustc --edition 2021 -O review/standin.rs -o target/review-2/cases
for case in review/[6-9]/case.rs review/10/case.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O "$case" -o "target/review-2/case$number"
done
for more in review/more-2/*.rs; do
    rustc --edition 2021 -O "$more" -o "target/review-2/$(basename "$more" .rs)"
done
