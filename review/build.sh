#!/bin/sh
# Builds the cases' stand-ins into build/review; run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.c; do
    number=$(basename "$(dirname "$source")")
    ${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I. -pthread \
        -o "build/review/case-$number" "$source" review/stand-ins/lab.c \
        t/lib/tier_store.c http/server.c http/conn.c http/message.c \
        http/loop_clock.c net/buffer.c core/text.c daemon/clock.c \
        -lev -lhttp_parser -ljansson -lm
done
