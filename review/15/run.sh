#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, with 0 if it held, and with
# 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-3/suspects
if [ ! -x target/yuccarun-tier ] || [ ! -x "$program" ]; then
    echo "build with deploy/system.toml's command and review/build-3.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 "$program" "$folder" "$here/record.txt"
verdict=$?
tail -n 4 "$here/record.txt"
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
