#!/bin/sh
# Checks what the cases 6 to 10 need besides the build of the deploy file. Their stand-ins are
# Python 3.11 or later with its standard library only, so nothing has to be compiled.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK' || exit 2
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [Path("review/lib-2/platform2.py"), *Path("review").glob("*/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if not Path("target/release/yuccawingd").is_file():
    sys.exit("target/release/yuccawingd is missing: run the build command of deploy/system.toml")
CHECK
