#!/usr/bin/env bash
# Reads the output of `cargo test`, prints all of it when a test failed that KNOWN-RED.txt does
# not name or when something did not compile, and otherwise one summary line and one for each
# known failure.
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
red=$(sed -n 's/^test \(.*\) \.\.\. FAILED$/\1/p' "$log" | sort)
unknown=$(grep -vxFf "$known" <<<"$red" | grep -v '^$' || true)
# Every failed test is named on a line of its own.
[ "$(grep -c . <<<"$red" || true)" -eq "$failed" ] || unknown="${unknown:-a test without a name}"
broken=$(grep '^error' "$log" | grep -vE '^error: (test failed|[0-9]+ targets? failed)' || true)
[ "$failed" -gt 0 ] || broken=$(grep '^error' "$log" || true)
if [ -n "$unknown" ] || [ -n "$broken" ]; then
    cat "$log"
fi
for name in $red; do
    grep -qxF "$name" "$known" && echo "known red: $name"
done
echo "$passed passed, $failed failed, $skipped skipped"
[ "$passed" -gt 0 ] && [ -z "$unknown" ] && [ -z "$broken" ]
