package io.pathdeck.testkit.sim;

import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.Section;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.control.ConfigurationLeases;
import io.pathdeck.control.ConsensusDuty;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.ControllerEvent;
import io.pathdeck.control.ControllerRings;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.control.GroupRecovery;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.control.PeerLink;
import io.pathdeck.control.PeerLinks;
import io.pathdeck.control.SnapshotTask;
import io.pathdeck.control.StorageBatch;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A controller: the consensus duty of production on a simulated disk and network. */
final class SimController extends SimProcess {
  private static final long SNAPSHOT_THRESHOLD_BYTES = 12 * 1024;
  private static final int SNAPSHOT_PART_LENGTH = 16 * 1024;
  private static final long WALL_EPOCH_MS = 1_700_000_000_000L;
  private static final int FORGOTTEN_RECORDS = 24;

  private final int id;
  private final SimFleet fleet;
  private final SimDisk disk;
  private ControllerRings rings;
  private Map<Integer, GroupRuntime> groups = new HashMap<>();
  private List<StorageBatch> syncing = new ArrayList<>();
  private long wallJumpMs;
  private long slowSyncMs;
  private boolean diskFails;

  SimController(int id, SimFleet fleet) {
    super("controller-" + id, fleet.simulation());
    this.id = id;
    this.fleet = fleet;
    this.disk = new SimDisk(simulation.random().nextLong(1, Long.MAX_VALUE));
  }

  int id() {
    return id;
  }

  SimDisk disk() {
    return disk;
  }

  /** The groups of the current life. */
  Map<Integer, GroupRuntime> groups() {
    return groups;
  }

  boolean leads(int group) {
    GroupRuntime runtime = groups.get(group);
    return isAlive() && runtime != null && runtime.replica().role() == ReplicaRole.LEADER;
  }

  void jumpWallClock(long byMs) {
    wallJumpMs += byMs;
  }

  void setSlowSync(long upToMs) {
    slowSyncMs = upToMs;
  }

  /** Lets the next write fail; the process then stops, as production does. */
  void failDisk() {
    diskFails = true;
  }

  void loseDisk() {
    kill();
    boolean keepsIncarnation = fleet.hasDefect(Defect.SAME_INCARNATION_AFTER_DISK_LOSS);
    long next = simulation.random().nextLong(1, Long.MAX_VALUE);
    disk.lose(keepsIncarnation ? disk.incarnation() : next);
  }

  @Override
  List<Duty> boot() {
    rings = ControllerRings.create();
    syncing = new ArrayList<>();
    slowSyncMs = 0;
    diskFails = false;
    if (fleet.hasDefect(Defect.SKIP_DAMAGED_ENTRY)) {
      disk.forgetMiddle();
    }
    try {
      groups =
          new GroupRecovery(
                  id,
                  disk.incarnation(),
                  SimFleet.CONTROLLERS,
                  raftSettings(),
                  SNAPSHOT_THRESHOLD_BYTES,
                  true)
              .recover(
                  SimFleet.PARTITIONS,
                  disk.recover(),
                  disk,
                  TimeUnit.NANOSECONDS.toMillis(clockNs()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ConsensusDuty duty =
        new ConsensusDuty(
            groups,
            PeerLinks.fixed(peerLinks()),
            rings,
            disk,
            new ConfigurationLeases(SimFleet.PARTITIONS, SimFleet.CONFIGURATION_LEASE_MS),
            new Section<>(new ControllerStatus(List.of())),
            clock());
    return List.of(duty);
  }

  private RaftSettings raftSettings() {
    RaftSettings normal = RaftSettings.DEFAULT;
    if (!fleet.hasDefect(Defect.LEASE_LONGER_THAN_ELECTION)) {
      return normal;
    }
    long longLeaseMs = 20_000;
    return new RaftSettings(
        normal.electionTimeoutMinMs(),
        longLeaseMs,
        normal.heartbeatMs(),
        longLeaseMs,
        normal.retransmitMs(),
        normal.maxAppendBytes(),
        normal.maxInFlightAppends());
  }

  private ControllerClock clock() {
    return new ControllerClock() {
      @Override
      public long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(clockNs());
      }

      @Override
      public long wallMs() {
        return WALL_EPOCH_MS + simulation.nowMs() + wallJumpMs;
      }
    };
  }

  private Map<Integer, PeerLink> peerLinks() {
    Map<Integer, PeerLink> links = new HashMap<>();
    for (int peer = 1; peer <= SimFleet.CONTROLLERS; peer++) {
      if (peer != id) {
        int to = peer;
        links.put(peer, message -> sendToPeer(to, message));
      }
    }
    return links;
  }

  private void sendToPeer(int peer, Message message) {
    SimController target = fleet.controller(peer);
    fleet.network().sendOneWay(name, target, () -> target.receive(message, reply -> {}));
  }

  /** Takes a message from the network. */
  void receive(Message message, ReplySink reply) {
    if (message instanceof QueryRequest query && fleet.hasDefect(Defect.STALE_READS)) {
      reply.reply(new QueryReply(groups.get(query.group()).stateMachine().query(query.query())));
      return;
    }
    Message handled = message;
    ReplySink sink = reply;
    if (message instanceof ProposeRequest request) {
      Optional<ProposeRequest> changed = fleet.sabotage().onPropose(this, request, reply);
      if (changed.isEmpty()) {
        return;
      }
      handled = changed.get();
      sink = fleet.sabotage().onReply(reply);
    }
    rings.events().offer(ControllerEvent.of(handled, sink));
  }

  @Override
  void afterStep() {
    startSync();
    SnapshotTask task = rings.snapshots().poll();
    while (task != null) {
      handle(task);
      task = rings.snapshots().poll();
    }
    fleet.oracle().observeReplicas(this);
  }

  // ---- storage

  private void startSync() {
    if (!syncing.isEmpty()) {
      return;
    }
    rings.storage().drain(syncing::add, Integer.MAX_VALUE);
    if (syncing.isEmpty()) {
      return;
    }
    long delayMs =
        simulation.between(0, 2) + (slowSyncMs > 0 ? simulation.between(0, slowSyncMs) : 0);
    later(delayMs, this::finishSync);
  }

  private void finishSync() {
    if (diskFails) {
      kill();
      return;
    }
    List<StorageBatch> finished = syncing;
    syncing = new ArrayList<>();
    finished.forEach(batch -> disk.sync(batch.records()));
    rings
        .completions()
        .offer(new ControllerEvent.Synced(finished.stream().map(StorageBatch::synced).toList()));
  }

  /** A write that was cut off leaves a part of its records. */
  @Override
  void onDeath() {
    List<LogRecord> unsynced = new ArrayList<>();
    syncing.forEach(batch -> unsynced.addAll(batch.records()));
    disk.sync(unsynced.subList(0, (int) simulation.between(0, unsynced.size())));
    if (fleet.hasDefect(Defect.ACKNOWLEDGE_BEFORE_SYNC)) {
      disk.forgetLast(FORGOTTEN_RECORDS);
    }
  }

  private void handle(SnapshotTask task) {
    if (task instanceof SnapshotTask.WriteSnapshot write) {
      byte[] content = SimDisk.encode(fleet.sabotage().snapshot(write.records()));
      later(
          simulation.between(1, 20),
          () -> {
            disk.storeSnapshot(write.group(), write.metadata(), content);
            rings
                .completions()
                .offer(
                    new ControllerEvent.SnapshotWritten(write.group(), write.metadata().index()));
          });
    } else if (task instanceof SnapshotTask.StoreSnapshot store) {
      later(
          simulation.between(1, 20),
          () -> {
            disk.storeSnapshot(store.group(), store.install());
            rings
                .completions()
                .offer(
                    new ControllerEvent.SnapshotStored(store.group(), store.install().metadata()));
          });
    } else if (task instanceof SnapshotTask.ReadPart read) {
      disk.snapshot(read.group()).ifPresent(stored -> sendPart(read, stored));
    }
  }

  private void sendPart(SnapshotTask.ReadPart read, SimDisk.StoredSnapshot stored) {
    byte[] content = stored.content();
    int start = (int) Math.min(read.request().offset(), content.length);
    int end = Math.min(content.length, start + SNAPSHOT_PART_LENGTH);
    byte[] part = java.util.Arrays.copyOfRange(content, start, end);
    rings
        .completions()
        .offer(
            new ControllerEvent.SnapshotPartRead(
                read.group(), read.request(), stored.metadata(), part, end == content.length));
  }
}
