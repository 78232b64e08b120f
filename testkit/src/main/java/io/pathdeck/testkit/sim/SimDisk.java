package io.pathdeck.testkit.sim;

import io.pathdeck.consensus.SnapshotInstall;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.control.GroupStorage;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.LogRecord;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The data folder of a simulated controller: what is synced, and nothing else, outlives a kill. */
final class SimDisk implements GroupStorage {
  /** A stored snapshot; its content is what followers receive. */
  record StoredSnapshot(SnapshotMetadata metadata, byte[] content) {}

  private final List<LogRecord> synced = new ArrayList<>();
  private final Map<Integer, StoredSnapshot> snapshots = new TreeMap<>();
  private long incarnation;

  SimDisk(long incarnation) {
    this.incarnation = incarnation;
  }

  long incarnation() {
    return incarnation;
  }

  /** Loses everything; the next life has a new incarnation. */
  void lose(long nextIncarnation) {
    synced.clear();
    snapshots.clear();
    incarnation = nextIncarnation;
  }

  void sync(List<LogRecord> records) {
    synced.addAll(records);
  }

  /** Takes away the newest records, as if they had never been synced. */
  void forgetLast(int count) {
    int keep = Math.max(0, synced.size() - count);
    synced.subList(keep, synced.size()).clear();
  }

  /**
   * Takes away one entry in the middle of the log, and the entries of its group that would not
   * follow then, as a recovery that skips them.
   */
  void forgetMiddle() {
    for (int i = synced.size() / 2; i < synced.size(); i++) {
      if (synced.get(i) instanceof EntryRecord missing) {
        synced.subList(i, synced.size()).removeIf(later -> follows(later, missing));
        return;
      }
    }
  }

  private static boolean follows(LogRecord later, EntryRecord missing) {
    return later instanceof EntryRecord entry
        && entry.group() == missing.group()
        && entry.entry().index() >= missing.entry().index();
  }

  RecoveredGroups recover() {
    RecoveredGroups recovered = new RecoveredGroups();
    synced.forEach(recovered::replay);
    return recovered;
  }

  void storeSnapshot(int group, SnapshotMetadata metadata, byte[] content) {
    StoredSnapshot stored = snapshots.get(group);
    if (stored == null || stored.metadata().index() < metadata.index()) {
      snapshots.put(group, new StoredSnapshot(metadata, content));
    }
  }

  void storeSnapshot(int group, SnapshotInstall install) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    install.parts().forEach(content::writeBytes);
    storeSnapshot(group, install.metadata(), content.toByteArray());
  }

  Optional<StoredSnapshot> snapshot(int group) {
    return Optional.ofNullable(snapshots.get(group));
  }

  @Override
  public Optional<SnapshotMetadata> newestSnapshot(int group) {
    return snapshot(group).map(StoredSnapshot::metadata);
  }

  @Override
  public Iterator<Object> readSnapshot(int group) {
    return decode(snapshots.get(group).content()).iterator();
  }

  @Override
  public void coverUpTo(Map<Integer, Long> snapshotIndexes) {
    Map<Integer, Long> covered = new HashMap<>(snapshotIndexes);
    synced.removeIf(
        logRecord ->
            logRecord instanceof EntryRecord entry
                && entry.entry().index() <= covered.getOrDefault(entry.group(), 0L));
  }

  /** Encodes snapshot records, each after its length. */
  static byte[] encode(Iterator<Object> records) {
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    while (records.hasNext()) {
      byte[] encoded = ObjectCodec.encode(records.next());
      content.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(encoded.length).array());
      content.writeBytes(encoded);
    }
    return content.toByteArray();
  }

  private static List<Object> decode(byte[] content) {
    List<Object> records = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(content);
    while (buffer.hasRemaining()) {
      int length = buffer.getInt();
      int start = buffer.position();
      byte[] encoded = Arrays.copyOfRange(content, start, start + length);
      records.add(ObjectCodec.decode(encoded, Object.class).value());
      buffer.position(start + length);
    }
    return records;
  }
}
