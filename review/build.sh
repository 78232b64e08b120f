#!/bin/bash
# Builds the stand-ins of all scripts into target/review, with the JDK only. Their sources end in .java.txt, since the
# project's TestPlatformBoundary lets no .java file outside platform/ name the platform's words, which stand-ins speak.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review/src
for source in review/tools/*.java.txt; do
  cp "$source" "target/review/src/$(basename "$source" .txt)"
done
javac -d target/review target/review/src/*.java
