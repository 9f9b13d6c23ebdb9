#!/usr/bin/env bash
# Summarizes the output of `cargo test` on standard input: one line for each failed test that
# KNOWN-RED.txt lists, and one line of totals. Prints the complete output and fails if any other
# test failed or if the build failed. Also fails if no test passed.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
known=$(mktemp)
trap 'rm -f "$log" "$known"' EXIT
cat >"$log"
sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | sort -u >"$known" || true
passed=$(awk '/^test result:/ { n += $4 } END { print n + 0 }' "$log")
failed=$(awk '/^test result:/ { n += $6 } END { print n + 0 }' "$log")
skipped=$(awk '/^test result:/ { n += $8 } END { print n + 0 }' "$log")
failures=$(sed -n 's/^test \(.*\) \.\.\. FAILED$/\1/p' "$log" | sort)
unexpected=$(grep -vxFf "$known" <<<"$failures" | grep -v '^$' || true)
# A failure counted in the totals must also have its own line with the name of the test.
[ "$(grep -c . <<<"$failures" || true)" -eq "$failed" ] || unexpected="${unexpected:-failed test without a name in the output}"
build_errors=$(grep '^error' "$log" | grep -vE '^error: (test failed|[0-9]+ targets? failed)' || true)
[ "$failed" -gt 0 ] || build_errors=$(grep '^error' "$log" || true)
if [ -n "$unexpected" ] || [ -n "$build_errors" ]; then
    cat "$log"
fi
for name in $failures; do
    grep -qxF "$name" "$known" && echo "known red: $name"
done
echo "$passed passed, $failed failed, $skipped skipped"
[ "$passed" -gt 0 ] && [ -z "$unexpected" ] && [ -z "$build_errors" ]
