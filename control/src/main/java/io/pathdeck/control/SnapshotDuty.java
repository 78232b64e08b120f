package io.pathdeck.control;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.SnapshotFiles;
import io.pathdeck.consensus.storage.StorageError;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Writes, stores and reads snapshot files, away from the consensus duty. */
final class SnapshotDuty implements Duty {
  private static final EventLog EVENTS = EventLog.of(SnapshotDuty.class);
  private static final long MAX_IDLE_NS = TimeUnit.SECONDS.toNanos(1);
  private static final int PART_LENGTH = 512 * 1024;

  private final SnapshotFiles files;
  private final BoundedRing<SnapshotTask> tasks;
  private final Consumer<ControllerEvent> completions;
  private final Runnable onFailure;

  SnapshotDuty(
      SnapshotFiles files,
      BoundedRing<SnapshotTask> tasks,
      Consumer<ControllerEvent> completions,
      Runnable onFailure) {
    this.files = files;
    this.tasks = tasks;
    this.completions = completions;
    this.onFailure = onFailure;
  }

  @Override
  public String name() {
    return "snapshots";
  }

  @Override
  public int doWork(long nowNs) {
    SnapshotTask task = tasks.poll();
    if (task == null) {
      return 0;
    }
    try {
      handle(task);
    } catch (IOException e) {
      EVENTS.log(EventCode.STORAGE_FAILED, e);
      onFailure.run();
    }
    return 1;
  }

  private void handle(SnapshotTask task) throws IOException {
    if (task instanceof SnapshotTask.WriteSnapshot write) {
      files.write(write.group(), write.metadata(), write.records());
      EVENTS.log(
          EventCode.SNAPSHOT_WRITTEN,
          "group",
          write.group(),
          "index",
          write.metadata().index(),
          "bytes",
          files.newestLength(write.group()));
      completions.accept(
          new ControllerEvent.SnapshotWritten(write.group(), write.metadata().index()));
    } else if (task instanceof SnapshotTask.StoreSnapshot store) {
      files.store(store.group(), store.install());
      completions.accept(
          new ControllerEvent.SnapshotStored(store.group(), store.install().metadata()));
    } else if (task instanceof SnapshotTask.DiscardSetAside discard) {
      discard.folder().discardSetAside();
    } else if (task instanceof SnapshotTask.ReadPart read) {
      readPart(read);
    }
  }

  private void readPart(SnapshotTask.ReadPart read) throws IOException {
    Optional<SnapshotMetadata> metadata = files.newestMetadata(read.group());
    Result<byte[], StorageError> part =
        files.readChunk(read.group(), read.request().offset(), PART_LENGTH);
    if (metadata.isEmpty() || !part.isOk()) {
      return;
    }
    long end = read.request().offset() + part.value().length;
    boolean last = end >= files.newestLength(read.group());
    completions.accept(
        new ControllerEvent.SnapshotPartRead(
            read.group(), read.request(), metadata.get(), part.value(), last));
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }
}
