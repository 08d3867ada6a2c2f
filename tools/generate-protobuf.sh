#!/usr/bin/env bash
# Regenerates the committed protobuf code. Needs the package
# protobuf-compiler, which the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/../include"
protoc --cpp_out=. sycamore/PeerMessages.proto
mv sycamore/PeerMessages.pb.cc ../src/
