#!/usr/bin/env bash
# Reads the output of `cargo test`, prints all of it when a test failed or did not compile,
# and otherwise one summary line.
set -euo pipefail
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cat >"$log"
passed=$(awk '/^test result:/ { n += $4 } END { print n + 0 }' "$log")
failed=$(awk '/^test result:/ { n += $6 } END { print n + 0 }' "$log")
skipped=$(awk '/^test result:/ { n += $8 } END { print n + 0 }' "$log")
if [ "$failed" -gt 0 ] || grep -q '^error' "$log"; then
    cat "$log"
fi
echo "$passed passed, $failed failed, $skipped skipped"
[ "$passed" -gt 0 ] && [ "$failed" -eq 0 ] && ! grep -q '^error' "$log"
