package io.pathdeck.control;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.consensus.ReplicationStatistics;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.AdvanceTime;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.message.NotLeader;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.StateMachine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** One group on this controller: its replica, its state machine and the callers that wait. */
public final class GroupRuntime {
  private static final EventLog EVENTS = EventLog.of(GroupRuntime.class);
  private static final int MAX_PENDING_PROPOSALS = 16_384;
  private static final long IDLE_TIME_STEP_MS = 1_000;
  private static final long REPLICATION_LINE_INTERVAL_MS = 1_000;

  private record PendingProposal(long term, ReplySink reply) {}

  private record HeldReply(ReplySink reply, ProposeReply message) {}

  private record PendingRead(long index, Runnable answer, ReplySink refusal) {}

  private final int group;
  private final RaftReplica replica;
  private final StateMachine stateMachine;
  private final long snapshotThresholdBytes;
  private final VoterRequirement voterRequirement;
  private final Runnable unknownFormHandler;
  private final LogTime logTime = new LogTime();
  private final Map<Long, PendingProposal> proposals = new HashMap<>();
  private final List<HeldReply> heldReplies = new ArrayList<>();
  private final ArrayDeque<PendingRead> reads = new ArrayDeque<>();
  private long appliedIndex;

  /** The entry that this replica appended when it began to lead. */
  private long firstIndexAsLeader;

  private long lastProposalMs;
  private long lastStepMs;
  private boolean lackOfVotersReported;
  private long snapshotIndex;
  private long lastSnapshotBytes;
  private boolean snapshotRunning;
  private ReplicaRole lastRole = ReplicaRole.JOINING;
  private ReplicationStatistics lastReplication = ReplicationStatistics.NONE;
  private long nextReplicationLineMs;

  /**
   * Creates the runtime of a recovered group.
   *
   * @param snapshotThresholdBytes the least size of the log that is worth a snapshot
   * @param voterRequirement the voters that the group needs
   * @param unknownFormHandler called before an entry is applied that this version cannot read; ends
   *     the process, since a replica that skipped the entry would differ from the others
   */
  GroupRuntime(
      int group,
      RaftReplica replica,
      StateMachine stateMachine,
      long appliedIndex,
      long snapshotThresholdBytes,
      VoterRequirement voterRequirement,
      Runnable unknownFormHandler) {
    this.unknownFormHandler = unknownFormHandler;
    this.snapshotThresholdBytes = snapshotThresholdBytes;
    this.voterRequirement = voterRequirement;
    this.group = group;
    this.replica = replica;
    this.stateMachine = stateMachine;
    this.appliedIndex = appliedIndex;
    this.snapshotIndex = appliedIndex;
  }

  /** The number of the group. */
  public int group() {
    return group;
  }

  public RaftReplica replica() {
    return replica;
  }

  public StateMachine stateMachine() {
    return stateMachine;
  }

  /** The voters that the tolerated losses need; 0 if the members are configured. */
  public int neededVoters() {
    return voterRequirement.neededVoters();
  }

  public long appliedIndex() {
    return appliedIndex;
  }

  long snapshotIndex() {
    return snapshotIndex;
  }

  // ---- proposals and reads

  /** Replicates a command and answers with its result. */
  public void propose(
      String clientId, long requestId, Command command, ReplySink reply, ControllerClock clock) {
    if (replica.role() != ReplicaRole.LEADER) {
      reply.reply(notLeader());
      return;
    }
    if (appliedIndex < firstIndexAsLeader) {
      // Until what earlier leaders committed is applied, the time of the log is not known.
      reply.reply(new Unavailable("the leader has not caught up yet", false));
      return;
    }
    if (proposals.size() >= MAX_PENDING_PROPOSALS) {
      reply.reply(new Unavailable("too many commands wait", false));
      return;
    }
    lastProposalMs = clock.monotonicMs();
    logTime.observe(stateMachine.logTimeMs());
    long stampMs = logTime.next(clock.monotonicMs(), clock.wallMs());
    byte[] encoded = ObjectCodec.encode(new CommandEnvelope(clientId, requestId, stampMs, command));
    OptionalLong index = replica.propose(encoded, clock.monotonicMs());
    proposals.put(index.getAsLong(), new PendingProposal(replica.term(), reply));
  }

  /** The answer to a call that only the leader takes. */
  public NotLeader notLeader() {
    int leader = replica.leaderId();
    String address =
        replica
            .configuration()
            .flatMap(configuration -> configuration.find(leader))
            .map(Member::address)
            .orElse("");
    return new NotLeader(leader, address);
  }

  /** Whether this replica leads and has applied what earlier leaders committed. */
  public boolean isLeading() {
    return replica.role() == ReplicaRole.LEADER && appliedIndex >= firstIndexAsLeader;
  }

  /** Lets time pass in the state when commands do not. */
  void advanceTimeIfIdle(ControllerClock clock) {
    long nowMs = clock.monotonicMs();
    boolean idle = nowMs - lastProposalMs >= IDLE_TIME_STEP_MS;
    boolean leads = replica.role() == ReplicaRole.LEADER && appliedIndex >= firstIndexAsLeader;
    if (idle && leads && stateMachine.needsTimeAdvance()) {
      propose("", 0, new AdvanceTime(), reply -> {}, clock);
    }
  }

  /** Answers a linearizable read. */
  public void read(Query query, ReplySink reply, long nowMs) {
    readLinearizably(() -> reply.reply(new QueryReply(stateMachine.query(query))), reply, nowMs);
  }

  /** Runs {@code answer} once the state is at least as new as this moment. */
  public void readLinearizably(Runnable answer, ReplySink refusal, long nowMs) {
    OptionalLong index = replica.readIndex(nowMs);
    if (index.isPresent() && index.getAsLong() <= appliedIndex) {
      answer.run();
    } else if (index.isPresent()) {
      reads.add(new PendingRead(index.getAsLong(), answer, refusal));
    } else if (replica.role() == ReplicaRole.LEADER) {
      refusal.reply(new Unavailable("the leader has no lease yet", false));
    } else {
      refusal.reply(notLeader());
    }
  }

  // ---- applying

  void apply(LogEntry entry) {
    if (entry.configuration() != null) {
      EVENTS.log(
          EventCode.MEMBERSHIP_CHANGED, "group", group, "members", entry.configuration().members());
    }
    CommandResult result = entry.command() == null ? null : applyCommand(entry);
    appliedIndex = entry.index();
    PendingProposal pending = proposals.remove(entry.index());
    if (pending != null && pending.term() == entry.term()) {
      acknowledge(pending.reply(), new ProposeReply(result));
    } else if (pending != null) {
      pending.reply().reply(new Unavailable("leadership changed", true));
    }
    answerReads();
  }

  private void acknowledge(ReplySink reply, ProposeReply message) {
    if (voterRequirement.holdsAcknowledgements(lastStepMs)) {
      heldReplies.add(new HeldReply(reply, message));
    } else {
      reply.reply(message);
    }
  }

  /** Sends the acknowledgements that need not wait any longer, and reports a lack of voters. */
  void onStep(long nowMs) {
    lastStepMs = nowMs;
    replica.configurationIfCommitted().ifPresent(voterRequirement::onConfiguration);
    if (!heldReplies.isEmpty() && !voterRequirement.holdsAcknowledgements(nowMs)) {
      heldReplies.forEach(held -> held.reply().reply(held.message()));
      heldReplies.clear();
    }
    if (replica.role() == ReplicaRole.LEADER) {
      reportLackOfVoters(nowMs);
    }
  }

  private void reportLackOfVoters(long nowMs) {
    boolean lacksVoters = voterRequirement.lacksVoters(nowMs);
    if (lacksVoters != lackOfVotersReported) {
      lackOfVotersReported = lacksVoters;
      logVoters(lacksVoters ? EventCode.VOTERS_MISSING : EventCode.VOTERS_COMPLETE);
    }
  }

  private void logVoters(EventCode code) {
    int voters = replica.configuration().map(GroupConfiguration::voterCount).orElse(0);
    EVENTS.log(code, "group", group, "voters", voters, "needed", voterRequirement.neededVoters());
  }

  private CommandResult applyCommand(LogEntry entry) {
    Result<CommandEnvelope, ObjectCodec.CodecError> decoded =
        ObjectCodec.decode(entry.command(), CommandEnvelope.class);
    if (!decoded.isOk()) {
      String reason = decoded.error().reason();
      EVENTS.log(
          EventCode.ENTRY_UNREADABLE, "group", group, "index", entry.index(), "reason", reason);
      unknownFormHandler.run();
      throw new IllegalStateException("entry " + entry.index() + " is of an unknown form");
    }
    return stateMachine.apply(decoded.value());
  }

  private void answerReads() {
    while (!reads.isEmpty() && reads.peekFirst().index() <= appliedIndex) {
      reads.pollFirst().answer().run();
    }
  }

  /** Follows the replica's role; what waited for this replica as leader is answered at once. */
  void followRole() {
    ReplicaRole role = replica.role();
    if (role == lastRole) {
      return;
    }
    EVENTS.log(
        EventCode.ROLE_CHANGED,
        "group",
        group,
        "role",
        role,
        "term",
        replica.term(),
        "leader",
        replica.leaderId());
    lackOfVotersReported = false;
    if (role == ReplicaRole.LEADER) {
      firstIndexAsLeader = replica.lastIndex();
    } else {
      logTime.pause();
      proposals
          .values()
          .forEach(pending -> pending.reply().reply(new Unavailable("leadership lost", true)));
      proposals.clear();
      heldReplies.forEach(held -> held.reply().reply(new Unavailable("leadership lost", true)));
      heldReplies.clear();
      reads.forEach(read -> read.refusal().reply(new Unavailable("leadership lost", false)));
      reads.clear();
    }
    lastRole = role;
  }

  /** Tells, at most once a second, that entries had to be sent again and how far members lag. */
  void logReplication(long nowMs) {
    ReplicationStatistics now = replica.statistics();
    long sentAgain = now.entryBytesResent() - lastReplication.entryBytesResent();
    if (sentAgain == 0 || nowMs < nextReplicationLineMs) {
      return;
    }
    nextReplicationLineMs = nowMs + REPLICATION_LINE_INTERVAL_MS;
    EVENTS.log(
        EventCode.ENTRIES_SENT_AGAIN,
        "group",
        group,
        "sent_bytes",
        now.entryBytesSent() - lastReplication.entryBytesSent(),
        "sent_again_bytes",
        sentAgain,
        "last",
        replica.lastIndex(),
        "committed",
        replica.commitIndex(),
        "lowest_match",
        lowestMatch());
    lastReplication = now;
  }

  private long lowestMatch() {
    return replica.configuration().stream()
        .flatMap(configuration -> configuration.members().stream())
        .mapToLong(member -> replica.matchIndex(member.id()))
        .min()
        .orElse(0);
  }

  // ---- snapshots

  /** Whether the log has grown enough since the last snapshot to be worth another. */
  boolean isSnapshotDue() {
    long threshold = Math.max(snapshotThresholdBytes, lastSnapshotBytes);
    return !snapshotRunning && appliedIndex > snapshotIndex && replica.logSizeBytes() > threshold;
  }

  SnapshotTask.WriteSnapshot startSnapshot() {
    snapshotRunning = true;
    lastSnapshotBytes = replica.logSizeBytes();
    return new SnapshotTask.WriteSnapshot(
        group, replica.snapshotMetadata(appliedIndex), stateMachine.captureSnapshot());
  }

  void onSnapshotWritten(long index) {
    snapshotRunning = false;
    snapshotIndex = index;
    replica.onSnapshotTaken(index);
  }

  void onSnapshotInstalled(long index) {
    appliedIndex = index;
    snapshotIndex = index;
    voterRequirement.onSnapshot();
  }
}
