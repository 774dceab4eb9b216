#!/bin/sh
# The stand-ins of the scripts are in review/lib/lab.py (Python, standard library only), so there is
# nothing to compile: this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is needed" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=lib python3 -c 'import sys; assert sys.version_info >= (3, 11); import lab'
