package io.pathdeck.control;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.Ready;
import io.pathdeck.consensus.SnapshotRequest;
import io.pathdeck.protocol.message.RaftBatch;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.ResetRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Runs all groups of the controller on one thread: feeds the replicas, hands records to storage,
 * applies committed entries and answers callers.
 */
public final class ConsensusDuty implements Duty {
  private static final EventLog EVENTS = EventLog.of(ConsensusDuty.class);
  private static final int MAX_EVENTS_PER_STEP = 512;
  private static final int MAX_OUTSTANDING_BATCHES = 256;
  private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long STATUS_INTERVAL_MS = 200;

  private final Map<Integer, GroupRuntime> groups;
  private final PeerLinks peers;
  private ConsensusExtension extension = ConsensusExtension.NONE;
  private final BoundedRing<ControllerEvent> events;
  private final BoundedRing<ControllerEvent> completions;
  private final BoundedRing<StorageBatch> storage;
  private final BoundedRing<SnapshotTask> snapshots;
  private final GroupStorage groupStorage;
  private final ConfigurationLeases configurationLeases;
  private final Section<ControllerStatus> status;
  private final ControllerClock clock;
  private final SuspensionWatch suspension = new SuspensionWatch();
  private int outstandingBatches;
  private long nextStatusMs;

  /** Creates the duty of a recovered controller. */
  public ConsensusDuty(
      Map<Integer, GroupRuntime> groups,
      PeerLinks peers,
      ControllerRings rings,
      GroupStorage groupStorage,
      ConfigurationLeases configurationLeases,
      Section<ControllerStatus> status,
      ControllerClock clock) {
    this.groups = groups;
    this.peers = peers;
    this.events = rings.events();
    this.completions = rings.completions();
    this.storage = rings.storage();
    this.snapshots = rings.snapshots();
    this.groupStorage = groupStorage;
    this.configurationLeases = configurationLeases;
    this.status = status;
    this.clock = clock;
  }

  /** Adds the process's own work; to be called before the duty starts. */
  public void extend(ConsensusExtension added) {
    extension = added;
  }

  @Override
  public String name() {
    return "consensus";
  }

  @Override
  public int doWork(long nowNs) {
    if (suspension.hasSlept(clock.monotonicMs(), clock.wallMs())) {
      onSuspended(clock.monotonicMs());
    }
    int work = completions.drain(this::handle, MAX_EVENTS_PER_STEP);
    work += events.drain(this::handle, MAX_EVENTS_PER_STEP);
    long nowMs = clock.monotonicMs();
    for (GroupRuntime group : groups.values()) {
      group.replica().poll(nowMs);
      group.followRole();
      group.onStep(nowMs);
      group.advanceTimeIfIdle(clock);
      group.logReplication(nowMs);
    }
    extension.onStep(nowMs);
    work += carryOutReadies();
    publishStatus(nowMs);
    return work;
  }

  /**
   * Before anything that was waiting is handled: a read among it must not be answered by a lease.
   */
  private void onSuspended(long nowMs) {
    EVENTS.log(EventCode.SUSPENSION_NOTICED);
    groups.values().forEach(group -> group.replica().invalidateLease(nowMs));
  }

  private void handle(ControllerEvent event) {
    long nowMs = clock.monotonicMs();
    if (event instanceof ControllerEvent.PeerMessages peerMessages) {
      peerMessages.messages().forEach(message -> receive(message, nowMs));
    } else if (event instanceof ControllerEvent.Synced synced) {
      onSynced(synced, nowMs);
    } else if (event instanceof ControllerEvent.Propose propose) {
      handlePropose(propose);
    } else if (event instanceof ControllerEvent.Read read) {
      handleRead(read, nowMs);
    } else if (event instanceof ControllerEvent.Task task) {
      task.action().run();
    } else if (event instanceof ControllerEvent.Heartbeat heartbeat) {
      GroupRuntime meta = groups.get(ControllerProcess.META_GROUP);
      configurationLeases.answer(heartbeat, meta, nowMs);
    } else {
      handleSnapshotEvent(event, nowMs);
    }
  }

  private void receive(RaftMessage message, long nowMs) {
    GroupRuntime group = groups.get(message.header().group());
    if (message instanceof JoinRequest join && !join.address().isEmpty()) {
      peers.learn(join.header().from(), join.address());
    }
    if (group != null) {
      group.replica().receive(message, nowMs);
    }
  }

  private void handlePropose(ControllerEvent.Propose propose) {
    GroupRuntime group = groups.get(propose.group());
    if (group == null) {
      propose.reply().reply(new Unavailable("no group " + propose.group(), false));
      return;
    }
    group.propose(
        propose.clientId(), propose.requestId(), propose.command(), propose.reply(), clock);
  }

  private void handleRead(ControllerEvent.Read read, long nowMs) {
    GroupRuntime group = groups.get(read.group());
    if (group == null) {
      read.reply().reply(new Unavailable("no group " + read.group(), false));
      return;
    }
    group.read(read.query(), read.reply(), nowMs);
  }

  private void onSynced(ControllerEvent.Synced synced, long nowMs) {
    outstandingBatches -= synced.groups().size();
    Map<Integer, List<RaftMessage>> outgoing = new HashMap<>();
    for (ControllerEvent.SyncedGroup group : synced.groups()) {
      collect(outgoing, group.messages());
      if (group.lastIndex() > 0) {
        groups.get(group.group()).replica().onSynced(group.lastIndex(), group.lastTerm(), nowMs);
      }
    }
    send(outgoing);
  }

  private void handleSnapshotEvent(ControllerEvent event, long nowMs) {
    if (event instanceof ControllerEvent.SnapshotWritten written) {
      groups.get(written.group()).onSnapshotWritten(written.index());
      coverSegments();
    } else if (event instanceof ControllerEvent.SnapshotPartRead part) {
      groups
          .get(part.group())
          .replica()
          .sendSnapshotChunk(part.request(), part.metadata(), part.data(), part.last(), nowMs);
    } else if (event instanceof ControllerEvent.SnapshotStored stored) {
      installSnapshot(stored, nowMs);
    }
  }

  private void installSnapshot(ControllerEvent.SnapshotStored stored, long nowMs) {
    GroupRuntime group = groups.get(stored.group());
    try {
      group.stateMachine().restoreSnapshot(groupStorage.readSnapshot(stored.group()));
    } catch (IOException e) {
      EVENTS.log(EventCode.STORAGE_FAILED, e, "group", stored.group());
      return;
    }
    long index = stored.metadata().index();
    List<LogRecord> reset = new ArrayList<>();
    reset.add(new ResetRecord(stored.group(), index));
    submit(reset, new ControllerEvent.SyncedGroup(stored.group(), 0, 0, List.of()));
    group.onSnapshotInstalled(index);
    group.replica().onSnapshotInstalled(stored.metadata(), nowMs);
    coverSegments();
    EVENTS.log(EventCode.SNAPSHOT_INSTALLED, "group", stored.group(), "index", index);
  }

  private void coverSegments() {
    Map<Integer, Long> covered = new HashMap<>();
    groups.forEach((id, group) -> covered.put(id, group.snapshotIndex()));
    groupStorage.coverUpTo(covered);
  }

  private int carryOutReadies() {
    if (outstandingBatches >= MAX_OUTSTANDING_BATCHES - groups.size()) {
      return 0;
    }
    int work = 0;
    Map<Integer, List<RaftMessage>> outgoing = new HashMap<>();
    for (GroupRuntime group : groups.values()) {
      Ready ready = group.replica().takeReady();
      collect(outgoing, ready.messages());
      if (ready.needsSync()) {
        submit(ready.records(), syncedGroup(group.group(), ready));
      }
      ready.committed().forEach(group::apply);
      ready
          .install()
          .ifPresent(install -> offer(new SnapshotTask.StoreSnapshot(group.group(), install)));
      for (SnapshotRequest request : ready.snapshotRequests()) {
        offer(new SnapshotTask.ReadPart(group.group(), request));
      }
      if (group.isSnapshotDue()) {
        offer(group.startSnapshot());
      }
      work += ready.committed().size();
    }
    send(outgoing);
    return work;
  }

  private static ControllerEvent.SyncedGroup syncedGroup(int group, Ready ready) {
    long lastIndex = 0;
    long lastTerm = 0;
    for (LogRecord logRecord : ready.records()) {
      if (logRecord instanceof EntryRecord entryRecord) {
        LogEntry entry = entryRecord.entry();
        lastIndex = entry.index();
        lastTerm = entry.term();
      }
    }
    return new ControllerEvent.SyncedGroup(group, lastIndex, lastTerm, ready.messagesAfterSync());
  }

  private void submit(List<LogRecord> records, ControllerEvent.SyncedGroup synced) {
    outstandingBatches++;
    if (!storage.offer(new StorageBatch(records, synced))) {
      throw new IllegalStateException("the storage ring is sized for all outstanding batches");
    }
  }

  private void offer(SnapshotTask task) {
    if (!snapshots.offer(task)) {
      EVENTS.log(EventCode.RING_FULL, "ring", "snapshots");
    }
  }

  private static void collect(
      Map<Integer, List<RaftMessage>> outgoing, List<RaftMessage> messages) {
    for (RaftMessage message : messages) {
      outgoing.computeIfAbsent(message.header().to(), key -> new ArrayList<>()).add(message);
    }
  }

  private void send(Map<Integer, List<RaftMessage>> outgoing) {
    outgoing.forEach(
        (peer, messages) -> {
          PeerLink link = peers.to(peer);
          if (link != null) {
            link.send(new RaftBatch(messages));
          }
        });
  }

  private void publishStatus(long nowMs) {
    if (nowMs >= nextStatusMs) {
      nextStatusMs = nowMs + STATUS_INTERVAL_MS;
      groups.values().forEach(this::learnAddresses);
      status.publish(ControllerStatus.of(groups.values()));
    }
  }

  private void learnAddresses(GroupRuntime group) {
    group
        .replica()
        .configuration()
        .ifPresent(
            configuration ->
                configuration.members().stream()
                    .filter(member -> !member.address().isEmpty())
                    .forEach(member -> peers.learn(member.id(), member.address())));
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }
}
