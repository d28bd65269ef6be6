#!/bin/sh
# The stand-ins of the scripts are plain modules for Node.js: nothing has to be built. Checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
for file in stand-ins/*.mjs ?/run.mjs; do
	node --check "$file" || exit 1
done
