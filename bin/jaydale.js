#!/usr/bin/env node
await import('../dist/src/cli/main.js');
