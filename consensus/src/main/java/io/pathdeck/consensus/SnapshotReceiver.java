package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.SnapshotChunk;
import java.io.ByteArrayOutputStream;

/** Assembles the chunks of one snapshot. */
final class SnapshotReceiver {
  private final SnapshotMetadata metadata;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
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
    if (chunk.offset() == content.size() && !complete) {
      content.writeBytes(chunk.data());
      complete = chunk.last();
    }
    return content.size();
  }

  boolean isComplete() {
    return complete;
  }

  SnapshotInstall toInstall() {
    return new SnapshotInstall(metadata, content.toByteArray());
  }
}
