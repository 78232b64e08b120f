package io.pathdeck.control;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.Ready;
import io.pathdeck.consensus.SnapshotInstall;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.SnapshotRequest;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.consensus.storage.SnapshotFiles;
import io.pathdeck.consensus.storage.StorageDamageException;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.ResetRecord;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** A replica of {@link DurabilityModel}: the storage of production without its threads. */
final class ModelReplica {
  private static final int GROUP = 1;
  private static final Set<Integer> IDS = Set.of(1, 2, 3);
  private static final long MAX_SEGMENT_BYTES = 600;
  private static final int PART_LENGTH = 200;

  private final int id;
  private final Path path;
  private final PowerLossDisk disk;
  private final List<Integer> applied = new ArrayList<>();
  private long appliedIndex;
  private long incarnation;
  private SegmentedLog log;
  private SnapshotFiles snapshots;
  private RaftReplica replica;

  ModelReplica(int id, Path path, PowerLossDisk disk) {
    this.id = id;
    this.path = path;
    this.disk = disk;
  }

  int id() {
    return id;
  }

  Path path() {
    return path;
  }

  PowerLossDisk disk() {
    return disk;
  }

  long incarnation() {
    return incarnation;
  }

  RaftReplica replica() {
    return replica;
  }

  List<Integer> applied() {
    return applied;
  }

  boolean isAlive() {
    return replica != null;
  }

  void die() {
    replica = null;
    disk.restart();
  }

  void losePower() throws IOException {
    die();
    disk.losePower();
  }

  void start(long nowMs) {
    FolderRecovery.open(path, disk, folder -> recover(folder, nowMs));
  }

  private Result<RaftReplica, StorageError> recover(DataFolder folder, long nowMs) {
    RecoveredGroups recovered = new RecoveredGroups();
    Result<SegmentedLog, StorageError> opened =
        SegmentedLog.open(folder, MAX_SEGMENT_BYTES, recovered::replay);
    if (!opened.isOk()) {
      return Result.err(opened.error());
    }
    try {
      SnapshotFiles files = new SnapshotFiles(folder);
      Optional<SnapshotMetadata> snapshot = files.newestMetadata(GROUP);
      restore(files, snapshot);
      JoinSettings join =
          new JoinSettings(IDS, IDS, "host:" + id, MembershipPolicy.openTolerating(1));
      RaftReplica started =
          new RaftReplica(
              GROUP,
              id,
              folder.incarnation(),
              folder.isGivenUp() ? join.joiningOnly() : join,
              RaftSettings.DEFAULT,
              recovered.state(GROUP, snapshot),
              folder.incarnation(),
              nowMs,
              nowMs);
      log = opened.value();
      snapshots = files;
      incarnation = folder.incarnation();
      replica = started;
      return Result.ok(started);
    } catch (StorageDamageException e) {
      return Result.err(e.error());
    } catch (IOException e) {
      return Result.err(new StorageError.Io("recover", e.toString()));
    }
  }

  private void restore(SnapshotFiles files, Optional<SnapshotMetadata> snapshot)
      throws IOException {
    applied.clear();
    appliedIndex = snapshot.map(SnapshotMetadata::index).orElse(0L);
    if (snapshot.isPresent()) {
      files
          .read(GROUP)
          .forEachRemaining(stored -> applied.add(((SetStoreLeaving) stored).memberId()));
    }
  }

  void poll(long nowMs) {
    replica.poll(nowMs);
  }

  void receive(RaftMessage message, long nowMs) {
    replica.receive(message, nowMs);
  }

  void propose(int number, long nowMs) {
    replica.propose(ByteBuffer.allocate(Integer.BYTES).putInt(number).array(), nowMs);
  }

  /** Carries out what the replica asks for; the process dies with its disk. */
  void carryOut(long nowMs, Consumer<RaftMessage> network, Consumer<LogEntry> onCommitted) {
    try {
      Ready ready = replica.takeReady();
      ready.messages().forEach(network);
      if (!ready.records().isEmpty()) {
        log.append(ready.records());
      }
      ready.messagesAfterSync().forEach(network);
      for (LogEntry entry : ready.committed()) {
        onCommitted.accept(entry);
        apply(entry);
      }
      onSynced(ready.records(), nowMs);
      if (ready.install().isPresent()) {
        install(ready.install().get(), nowMs);
      }
      for (SnapshotRequest request : ready.snapshotRequests()) {
        sendPart(request, nowMs);
      }
    } catch (IOException e) {
      die();
    }
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index();
    if (entry.command() != null) {
      applied.add(ByteBuffer.wrap(entry.command()).getInt());
    }
  }

  private void onSynced(List<LogRecord> records, long nowMs) {
    for (LogRecord logRecord : records) {
      if (logRecord instanceof EntryRecord stored) {
        replica.onSynced(stored.entry().index(), stored.entry().term(), nowMs);
      }
    }
  }

  private void install(SnapshotInstall install, long nowMs) throws IOException {
    snapshots.store(GROUP, install);
    restore(snapshots, Optional.of(install.metadata()));
    log.append(List.of(new ResetRecord(GROUP, install.metadata().index())));
    replica.onSnapshotInstalled(install.metadata(), nowMs);
    log.deleteCoveredSegments(Map.of(GROUP, install.metadata().index()));
  }

  private void sendPart(SnapshotRequest request, long nowMs) throws IOException {
    Optional<SnapshotMetadata> metadata = snapshots.newestMetadata(GROUP);
    byte[] part = snapshots.readChunk(GROUP, request.offset(), PART_LENGTH).value();
    boolean last = request.offset() + part.length >= snapshots.newestLength(GROUP);
    replica.sendSnapshotChunk(request, metadata.orElseThrow(), part, last, nowMs);
  }

  void takeSnapshot() {
    if (!isAlive() || appliedIndex == 0) {
      return;
    }
    try {
      Iterator<Object> records =
          applied.stream().map(number -> (Object) new SetStoreLeaving("store", number)).iterator();
      snapshots.write(GROUP, replica.snapshotMetadata(appliedIndex), records);
      replica.onSnapshotTaken(appliedIndex);
      log.deleteCoveredSegments(Map.of(GROUP, appliedIndex));
    } catch (IOException e) {
      die();
    }
  }
}
