#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: adapters that fit.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../../lib exec python3 case.py
