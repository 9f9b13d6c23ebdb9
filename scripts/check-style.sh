#!/usr/bin/env bash
# Checks rules that rustfmt and clippy cannot check on a stable toolchain: one import per line,
# import groups in the order std, external, workspace, and no mod.rs.
set -euo pipefail
cd "$(dirname "$0")/.."

files=$(git ls-files --cached --others --exclude-standard -- 'crates/*.rs' 'platform/*.rs' | grep -v '/generated.rs$')
failed=0
if grep -E '(^|/)mod\.rs$' <<<"$files"; then
    echo "error: mod.rs is not allowed; name the module file NAME.rs, next to the folder NAME"
    failed=1
fi
for file in $files; do
    [ -f "$file" ] || continue
    awk -v file="$file" '
        function group(path) {
            if (path ~ /^(std|core|alloc)(::|;)/) return 1
            if (path ~ /^(crate|self|super|sassafras_[a-z]+)(::|;)/) return 3
            return 2
        }
        /^(pub )?use / {
            if ($0 ~ /[{]/) { print file ":" FNR ": more than one import per line"; failed = 1 }
            if ($1 == "use") {
                g = group($2)
                if (g < last) { print file ":" FNR ": import groups are not in the order std, external, workspace"; failed = 1 }
                last = g
            }
        }
        END { exit failed }
    ' "$file" || failed=1
done
exit $failed
