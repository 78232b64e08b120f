package io.pathdeck.control;

import java.io.IOException;
import java.util.Iterator;
import java.util.Map;

/** What the consensus duty needs of the storage beside the rings. */
public interface GroupStorage {
  /** The records of the newest snapshot of a group. */
  Iterator<Object> readSnapshot(int group) throws IOException;

  /** Allows the log to forget what snapshots up to these indexes cover. */
  void coverUpTo(Map<Integer, Long> snapshotIndexes);
}
