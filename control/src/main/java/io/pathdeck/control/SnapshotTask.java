package io.pathdeck.control;

import io.pathdeck.consensus.SnapshotInstall;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.SnapshotRequest;
import io.pathdeck.consensus.storage.DataFolder;
import java.util.Iterator;

/** A piece of work on snapshot files. */
public sealed interface SnapshotTask {

  /** Write a captured state. */
  record WriteSnapshot(int group, SnapshotMetadata metadata, Iterator<Object> records)
      implements SnapshotTask {}

  /** Store a snapshot received from the leader. */
  record StoreSnapshot(int group, SnapshotInstall install) implements SnapshotTask {}

  /** Delete the content of a folder that was given up. */
  record DiscardSetAside(DataFolder folder) implements SnapshotTask {}

  /** Read a part for a follower. */
  record ReadPart(int group, SnapshotRequest request) implements SnapshotTask {}
}
