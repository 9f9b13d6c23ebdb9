#!/usr/bin/env bash
# Checks what rustfmt and clippy cannot on a stable toolchain: one import a line, import
# groups in the order std, external, workspace, and no mod.rs.
set -euo pipefail
cd "$(dirname "$0")/.."

files=$(git ls-files --cached --others --exclude-standard -- 'crates/*.rs' 'platform/*.rs' | grep -v '/generated.rs$')
bad=0
if grep -E '(^|/)mod\.rs$' <<<"$files"; then
    echo "error: mod.rs found; put the module beside its folder"
    bad=1
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
            if ($0 ~ /[{]/) { print file ":" FNR ": more than one import in a line"; bad = 1 }
            if ($1 == "use") {
                g = group($2)
                if (g < last) { print file ":" FNR ": imports out of group order"; bad = 1 }
                last = g
            }
        }
        END { exit bad }
    ' "$file" || bad=1
done
exit $bad
