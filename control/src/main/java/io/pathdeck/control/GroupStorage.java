package io.pathdeck.control;

import io.pathdeck.consensus.SnapshotMetadata;
import java.io.IOException;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/** What the consensus duty needs of the storage beside the rings. */
public interface GroupStorage {
  /** What the newest snapshot of a group covers; empty when there is none. */
  Optional<SnapshotMetadata> newestSnapshot(int group) throws IOException;

  /** The records of the newest snapshot of a group. */
  Iterator<Object> readSnapshot(int group) throws IOException;

  /** Allows the log to forget what snapshots up to these indexes cover. */
  void coverUpTo(Map<Integer, Long> snapshotIndexes);
}
