#!/usr/bin/env bash
# The stand-ins and scripts are plain JavaScript on Node.js, without packages: checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.js [1-5]/run.js; do node --check "$file"; done
