#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts that use the standard library only, so that there is
# nothing to compile; this checks that they can be run. The program under test comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or later is needed")'
for script in common-2/*.py [0-9]*/case.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
