package io.pathdeck.control;

import io.pathdeck.common.duty.DutyThread;
import io.pathdeck.common.duty.ProcessStart;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.consensus.storage.SnapshotFiles;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.StateMachine;
import java.io.IOException;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * One replicated group of a process: its storage, its replica and the threads that drive them.
 *
 * <p>Other parts of the process reach the group's state only through {@link #execute} and the
 * {@link ConsensusExtension}, both on the thread of the consensus duty.
 */
public final class ReplicaHost implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(ReplicaHost.class);
  private static final int STORAGE_FAILURE_EXIT_CODE = 3;
  private static final int NO_PARTITIONS = 0;

  /** How long a stop waits for a successor; an election instead takes up to 1,200 ms. */
  private static final long TRANSFER_PATIENCE_MS = 500;

  /** The pause between attempts to find a successor: some round trips of 2 to 6 ms. */
  private static final long TRANSFER_RETRY_MS = 20;

  private static final long UNUSED_LEASE_MS = 1_000;

  /**
   * What a host is made of.
   *
   * @param snapshotThresholdBytes the least size of the log that is worth a snapshot
   * @param maxSegmentBytes where a file of the log ends
   */
  public record Options(
      int group,
      int memberId,
      JoinSettings joinSettings,
      StateMachine stateMachine,
      long snapshotThresholdBytes,
      long maxSegmentBytes) {}

  private final ResourceStack resources = new ResourceStack();
  private final ControllerRings rings = ControllerRings.create();
  private final ControllerClock clock = ControllerClock.system();
  private final Section<ControllerStatus> status = new Section<>(new ControllerStatus(List.of()));
  private final DataFolder folder;
  private final GroupRuntime group;
  private final ConsensusDuty duty;
  private final StorageDuty storageDuty;
  private final SnapshotDuty snapshotDuty;

  private ReplicaHost(
      Options options,
      DataFolder folder,
      SegmentedLog log,
      RecoveredGroups recovered,
      PeerLinks links)
      throws IOException {
    this.folder = folder;
    SnapshotFiles snapshotFiles = new SnapshotFiles(folder);
    storageDuty =
        new StorageDuty(log, rings.storage(), this::complete, ReplicaHost::haltAfterFailure);
    snapshotDuty =
        new SnapshotDuty(
            snapshotFiles, rings.snapshots(), this::complete, ReplicaHost::haltAfterFailure);
    GroupStorage storage = new HostStorage(snapshotFiles, storageDuty);
    group = recover(options, folder, recovered, storage, clock.monotonicMs());
    duty =
        new ConsensusDuty(
            Map.of(options.group(), group),
            links,
            rings,
            storage,
            new ConfigurationLeases(NO_PARTITIONS, UNUSED_LEASE_MS),
            status,
            clock);
  }

  /** Recovers the group from {@code folder}. */
  public static Result<ReplicaHost, StorageError> open(
      Options options, DataFolder folder, PeerLinks links) {
    RecoveredGroups recovered = new RecoveredGroups();
    Result<SegmentedLog, StorageError> log =
        SegmentedLog.open(folder, options.maxSegmentBytes(), recovered::replay);
    if (!log.isOk()) {
      return Result.err(log.error());
    }
    recovered.onOpened(folder, log.value());
    try {
      return Result.ok(new ReplicaHost(options, folder, log.value(), recovered, links));
    } catch (IOException | IllegalArgumentException e) {
      return Result.err(RecoveryErrors.afterFailure(e, log.value()));
    }
  }

  private static GroupRuntime recover(
      Options options,
      DataFolder folder,
      RecoveredGroups recovered,
      GroupStorage storage,
      long nowMs)
      throws IOException {
    long incarnation = folder.incarnation();
    JoinSettings join = options.joinSettings();
    int number = options.group();
    Optional<SnapshotMetadata> snapshot = storage.newestSnapshot(number);
    if (snapshot.isPresent()) {
      options.stateMachine().restoreSnapshot(storage.readSnapshot(number));
    }
    RecoveredState state = recovered.state(number, snapshot);
    long seed = incarnation + nowMs;
    RaftReplica replica =
        new RaftReplica(
            number,
            options.memberId(),
            incarnation,
            folder.isGivenUp() ? join.joiningOnly() : join,
            RaftSettings.DEFAULT,
            state,
            seed,
            ProcessStart.monotonicMs(nowMs),
            nowMs);
    long applied = snapshot.map(SnapshotMetadata::index).orElse(0L);
    RecoveryEvents.log(replica, number, applied, recovered.summary(number));
    return new GroupRuntime(
        number,
        replica,
        options.stateMachine(),
        applied,
        options.snapshotThresholdBytes(),
        voterRequirement(join.policy(), snapshot, nowMs),
        ReplicaHost::haltAfterFailure);
  }

  private static VoterRequirement voterRequirement(
      MembershipPolicy policy, Optional<SnapshotMetadata> snapshot, long nowMs) {
    if (!policy.open()) {
      return VoterRequirement.none();
    }
    VoterRequirement requirement =
        new VoterRequirement(policy.minVoters(), snapshot.isPresent(), nowMs);
    snapshot.map(SnapshotMetadata::configuration).ifPresent(requirement::onConfiguration);
    return requirement;
  }

  /** Starts the threads. */
  public void start(ConsensusExtension extension) {
    duty.extend(SetAsideCleanup.extend(extension, folder, List.of(group), rings.snapshots()));
    resources.push(new DutyThread(storageDuty, rings.storage()).start());
    resources.push(new DutyThread(snapshotDuty, rings.snapshots()).start());
    resources.push(new DutyThread(duty, rings.events()).start());
  }

  /** The group; to be used on the consensus duty's thread only. */
  public GroupRuntime group() {
    return group;
  }

  /** The incarnation of the folder that the replica was recovered from. */
  public long incarnation() {
    return folder.incarnation();
  }

  /** The clocks of the group. */
  public ControllerClock clock() {
    return clock;
  }

  /** A view of the group for other threads. */
  public ControllerStatus status() {
    return status.read();
  }

  /** Runs an action on the consensus duty's thread; returns false when too much waits there. */
  public boolean execute(Runnable action) {
    return rings.events().offer(new ControllerEvent.Task(action));
  }

  /**
   * Hands leadership over before a planned stop, if this replica leads; blocks until it does not
   * lead any more or the time is over.
   *
   * @return whether this replica does not lead, or leads a group of its own
   */
  public boolean transferLeadership() {
    long deadlineMs = clock.monotonicMs() + TRANSFER_PATIENCE_MS;
    while (clock.monotonicMs() < deadlineMs) {
      CompletableFuture<Boolean> follows = new CompletableFuture<>();
      boolean accepted = execute(() -> follows.complete(stopLeading()));
      try {
        if (accepted && follows.get(TRANSFER_PATIENCE_MS, TimeUnit.MILLISECONDS)) {
          return true;
        }
        Thread.sleep(TRANSFER_RETRY_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      } catch (ExecutionException | TimeoutException e) {
        EVENTS.log(EventCode.LEADERSHIP_KEPT, "group", group.group(), "reason", e);
        return false;
      }
    }
    EVENTS.log(EventCode.LEADERSHIP_KEPT, "group", group.group(), "reason", "no successor");
    return false;
  }

  private boolean stopLeading() {
    RaftReplica replica = group.replica();
    boolean leads = replica.role() == ReplicaRole.LEADER;
    boolean alone = replica.configuration().map(members -> members.voterCount() == 1).orElse(false);
    if (alone) {
      return true;
    }
    if (leads && replica.transferLeadership(clock.monotonicMs())) {
      EVENTS.log(EventCode.LEADERSHIP_TRANSFERRED, "group", group.group(), "term", replica.term());
      return true;
    }
    return !leads;
  }

  /** Hands a message of the group on; returns false when it is none of the group's. */
  public boolean handle(Message message, ReplySink reply) {
    ControllerEvent event = ControllerEvent.of(message, reply);
    if (event == null) {
      return false;
    }
    boolean accepted = rings.events().offer(event);
    if (!accepted && !(event instanceof ControllerEvent.PeerMessages)) {
      reply.reply(new Unavailable("too many messages wait", false));
    }
    return true;
  }

  private void complete(ControllerEvent event) {
    while (!rings.completions().offer(event)) {
      rings.events().wakeConsumer();
      Thread.onSpinWait();
    }
    rings.events().wakeConsumer();
  }

  /**
   * Ends the process without any more steps: what is durable is unknown after a failed sync, and an
   * entry that cannot be read must not be skipped.
   */
  static void haltAfterFailure() {
    Runtime.getRuntime().halt(STORAGE_FAILURE_EXIT_CODE);
  }

  @Override
  public void close() {
    resources.closeAll();
  }

  /** The storage of the one group. */
  private record HostStorage(SnapshotFiles files, StorageDuty duty) implements GroupStorage {
    @Override
    public Optional<SnapshotMetadata> newestSnapshot(int group) throws IOException {
      return files.newestMetadata(group);
    }

    @Override
    public Iterator<Object> readSnapshot(int group) throws IOException {
      return files.read(group);
    }

    @Override
    public void coverUpTo(Map<Integer, Long> snapshotIndexes) {
      duty.coverUpTo(snapshotIndexes);
    }
  }
}
