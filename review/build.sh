#!/bin/sh
# Builds the stand-ins of the cases: Python files of the standard library alone, so there is nothing but to compile them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
