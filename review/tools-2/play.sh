#!/bin/bash
# play.sh CLASS FOLDER: plays a case in a temporary folder, writes FOLDER/record.txt and ends all processes it started.
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
if [ ! -d "$root/target/review-2" ] || [ ! -f "$root/target/fleet/pathdeck.jar" ]; then
  echo "build first: bash deploy/build; review/build-2.sh" >&2
  exit 2
fi
work=$(mktemp -d)
java -Xmx512m -cp "$root/target/review-2" "$1" "$root" "$work" "$folder/record.txt" &
player=$!
trap 'kill $player 2>/dev/null; wait $player; rm -rf "$work"' EXIT
trap 'exit 2' INT TERM
wait $player
exit $?
