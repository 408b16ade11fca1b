#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
    [ -f "review/$number/main.c" ] || continue
    ${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I. -pthread \
        -o "build/review-2/case-$number" "review/$number/main.c" \
        review/stand-ins-2/lab2.c review/stand-ins-2/store2.c -ljansson
done
