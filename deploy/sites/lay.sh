#!/bin/sh
# Lays the bench's own files beside the site files, as it wants them there; they are not kept in the repository.
# usage: deploy/sites/lay.sh KIT    where KIT is the operators' kit
set -eu
here=$(cd "$(dirname "$0")" && pwd)
for name in real.json wire.json unlock.txt; do
    cp -f "${1:?the kit}/sites/$name" "$here/$name"
    chmod u+w "$here/$name"
done
