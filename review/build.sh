#!/bin/bash
# Builds the stand-ins of all scripts into target/review, with the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/tools/*.java
