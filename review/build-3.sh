#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, the project's
# own included, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=gnu11 -Wall -Wextra -Werror -D_GNU_SOURCE -I. -pthread -g -O2"
flags="$flags $(pkg-config --cflags jansson libxxhash log4c)"
sources="review/stand-ins-3/world.c t/lib/tier_store.c t/lib/tier_address.c
    t/soak/process.c http/conn.c http/loop_clock.c http/message.c
    http/server.c net/buffer.c net/http_grammar.c core/text.c daemon/clock.c"
for name in cold hot limits rest suspects; do
    # shellcheck disable=SC2086
    cc $flags -o "$out/$name" "review/stand-ins-3/$name.c" $sources \
        -lev -lhttp_parser -lxxhash -ljansson -lm
done
