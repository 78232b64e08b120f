package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.SnapshotChunk;
import java.util.ArrayList;
import java.util.List;

/** Collects the chunks of one snapshot. */
final class SnapshotReceiver {
  private final SnapshotMetadata metadata;
  private final List<byte[]> parts = new ArrayList<>();
  private long length;
  private boolean complete;

  SnapshotReceiver(SnapshotChunk first) {
    this.metadata =
        new SnapshotMetadata(first.snapshotIndex(), first.snapshotTerm(), first.configuration());
  }

  boolean isFor(SnapshotChunk chunk) {
    return chunk.snapshotIndex() == metadata.index() && chunk.snapshotTerm() == metadata.term();
  }

  /** Appends a chunk if it is the next one; returns the offset expected next. */
  long accept(SnapshotChunk chunk) {
    if (chunk.offset() == length && !complete) {
      parts.add(chunk.data());
      length += chunk.data().length;
      complete = chunk.last();
    }
    return length;
  }

  boolean isComplete() {
    return complete;
  }

  SnapshotInstall toInstall() {
    return new SnapshotInstall(metadata, parts);
  }
}
