#!/bin/sh
# The stand-ins of the cases 4 to 8 are plain JavaScript and need no build. Node.js checks their syntax here.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.mjs review/[4-8]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
