package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.SnapshotChunk;
import java.io.ByteArrayOutputStream;

/** Puts the parts of one snapshot together. */
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

  /** Takes a part in its turn; returns the offset expected next. */
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
