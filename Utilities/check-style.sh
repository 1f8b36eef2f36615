#!/usr/bin/env bash
# Checks formatting of all files and lints them. The build directory must hold
# compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-build}"
mapfile -t files < <(git ls-files | grep -E '\.(cxx|h)$' | grep -v '^Source/Generated/')
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cxx$' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
echo "style: ${#files[@]} files are formatted and linted"
