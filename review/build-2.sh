#!/bin/bash
# Builds the stand-ins of the scripts of cases 4 to 8 into target/review-2, with the JDK only. Their sources end in
# .java.txt, since a test of the project lets no .java file outside platform/ name the platform's words.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2/src
for source in review/tools-2/*.java.txt; do
  cp "$source" "target/review-2/src/$(basename "$source" .txt)"
done
javac -d target/review-2 target/review-2/src/*.java
