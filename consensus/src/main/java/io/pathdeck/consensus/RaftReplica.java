package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.SnapshotChunk;
import io.pathdeck.protocol.raft.TimeoutNow;
import io.pathdeck.protocol.raft.VoteRequest;
import io.pathdeck.protocol.raft.VoteResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * One replica of a replicated log, as a pure state machine.
 *
 * <p>The caller passes in time and messages and carries out what {@link #takeReady} returns. Safety
 * rests on these rules beside Raft's own:
 *
 * <ul>
 *   <li>A vote leaves only after it is durable, and an acknowledgement covers only synced entries.
 *   <li>A member is an id <em>and</em> an incarnation of its data folder. Votes and
 *       acknowledgements of an incarnation that the configuration does not name are not counted, so
 *       a replica that lost its disk cannot help to elect a leader that misses what the lost disk
 *       acknowledged. It is replaced by a learner first and votes again after it has caught up.
 *   <li>A replica that heard from a leader, or has just started, refuses votes for the shortest
 *       election timeout. That is what makes the leader's lease valid. A leader that hands over has
 *       ended its term before it names its successor, so votes for that one wait for no lease.
 * </ul>
 */
public final class RaftReplica {
  private final ReplicaState state;
  private final FollowerLog follower;
  private final JoinProtocol joining;
  private final ElectionTimer timer;
  private final MembershipPolicy policy;
  private final Elections elections;
  private final CommittedEntries committedEntries;
  private final Leadership leadership;
  private ReplicaRole role = ReplicaRole.JOINING;

  /**
   * Restores a replica that finds its group as {@code joinSettings} say.
   *
   * @param processStartMs when the process began, in the time of {@code nowMs}
   */
  public RaftReplica(
      int group,
      int id,
      long incarnation,
      JoinSettings joinSettings,
      RaftSettings settings,
      RecoveredState recovered,
      long seed,
      long processStartMs,
      long nowMs) {
    this.policy = joinSettings.policy();
    this.state = new ReplicaState(group, id, incarnation, settings);
    this.follower = new FollowerLog(state);
    this.joining = new JoinProtocol(state, joinSettings, recovered.bootstrap());
    this.timer = new ElectionTimer(settings, seed, processStartMs, nowMs);
    state.term = recovered.term();
    this.elections = new Elections(state, timer, recovered.votedFor());
    state.restoreLog(recovered);
    committedEntries = new CommittedEntries(state);
    leadership = new Leadership(state, policy);
    state.syncedIndex = state.log.lastIndex();
    if (state.log.hasConfiguration()) {
      role = ReplicaRole.FOLLOWER;
    }
  }

  // ---- state seen from outside

  public ReplicaRole role() {
    return role;
  }

  public long term() {
    return state.term;
  }

  /** The leader's state.id, or -1 when unknown. */
  public int leaderId() {
    return follower.leaderId();
  }

  public long commitIndex() {
    return state.commitIndex;
  }

  public long lastIndex() {
    return state.log.lastIndex();
  }

  /** The bytes of entries that no snapshot covers yet. */
  public long logSizeBytes() {
    return state.log.sizeBytes();
  }

  /** The newest configuration; empty while joining. */
  public Optional<GroupConfiguration> configuration() {
    return state.log.hasConfiguration() ? Optional.of(state.log.configuration()) : Optional.empty();
  }

  /** The newest configuration once it is committed; empty while a change is under way. */
  public Optional<GroupConfiguration> committedConfiguration() {
    return configuration().filter(next -> state.log.configurationIndex() <= state.commitIndex);
  }

  /** The highest index known to be synced on {@code memberId}; for the leader's reports. */
  public long matchIndex(int memberId) {
    if (memberId == state.id) {
      return state.syncedIndex;
    }
    return leadership.matchIndex(memberId);
  }

  /** What this replica has sent as leader. */
  public ReplicationStatistics statistics() {
    return state.statistics;
  }

  /** Adds replicas that may know the group, for a replica that seeks admission. */
  public void addContacts(Set<Integer> ids) {
    joining.addContacts(ids);
  }

  /** Starts from the first configuration of a group that was founded by others' decision. */
  public void bootstrap(GroupConfiguration configuration, long nowMs) {
    if (role == ReplicaRole.JOINING) {
      joining.adopt(configuration);
      onBootstrapped(nowMs);
    }
  }

  /**
   * Names the members that are to leave. The leader removes them while enough voters remain; one
   * that leads hands over by ending its term.
   */
  public void setLeaving(Set<Integer> ids) {
    leadership.setLeaving(ids);
    timer.setLeaving(leadership.isLeaving(state.id));
  }

  /**
   * Ends this replica's term and tells the voter that is closest to its log to campaign at once.
   *
   * <p>The leader steps down before the message leaves, so it answers no read under its lease any
   * more. Entries that wait for a quorum were sent to the successor earlier on the same way.
   *
   * @return whether a successor was found; nothing changes otherwise
   */
  public boolean transferLeadership(long nowMs) {
    if (role != ReplicaRole.LEADER || !leadership.sendTimeoutNow(nowMs)) {
      return false;
    }
    becomeFollower(state.term, RecoveredState.NO_REPLICA, nowMs);
    return true;
  }

  /** What a snapshot taken after applying {@code index} must record. */
  public SnapshotMetadata snapshotMetadata(long index) {
    return new SnapshotMetadata(index, state.log.term(index), state.log.configurationAt(index));
  }

  // ---- inputs

  /** Lets timers act. */
  public void poll(long nowMs) {
    switch (role) {
      case JOINING -> pollJoining(nowMs);
      case LEADER -> pollLeader(nowMs);
      default -> pollFollower(nowMs);
    }
  }

  private void pollFollower(long nowMs) {
    boolean forgotten = policy.open() && timer.isLeaderLost(nowMs);
    if (!state.isMember() || forgotten) {
      joining.askToJoin(nowMs);
    }
    if (timer.isExpired(nowMs)) {
      startPreVote(nowMs);
    }
  }

  /** Appends a command; empty when this replica does not lead. */
  public OptionalLong propose(byte[] command, long nowMs) {
    if (role != ReplicaRole.LEADER) {
      return OptionalLong.empty();
    }
    long index = state.log.lastIndex() + 1;
    leadership.replicator().append(new LogEntry(index, state.term, command, null), nowMs);
    return OptionalLong.of(state.log.lastIndex());
  }

  /**
   * The index that must be applied before a linearizable read may be answered; empty when this
   * replica cannot tell that it still leads.
   */
  public OptionalLong readIndex(long nowMs) {
    return role == ReplicaRole.LEADER ? leadership.readIndex(nowMs) : OptionalLong.empty();
  }

  /**
   * To be called when more time may have passed than the clock shows, as after a suspension of the
   * machine: a lease that is measured by the clock may be over.
   */
  public void invalidateLease(long nowMs) {
    leadership.invalidateLease(nowMs);
  }

  /** Handles a message of another replica. */
  public void receive(RaftMessage message, long nowMs) {
    RaftHeader header = message.header();
    if (message instanceof JoinRequest join) {
      onJoinRequest(join, nowMs);
      return;
    }
    if (header.toIncarnation() != state.incarnation || header.to() != state.id) {
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(request, nowMs);
      return;
    }
    if (header.term() > state.term && !isPreVoteGrant(message)) {
      becomeFollower(header.term(), RecoveredState.NO_REPLICA, nowMs);
    }
    if (message instanceof VoteResponse response) {
      onVoteResponse(response, nowMs);
    } else if (message instanceof TimeoutNow handover) {
      onTimeoutNow(handover, nowMs);
    } else if (isLeaderInTerm(header)) {
      leadership.receive(message, nowMs);
    } else {
      receiveFromLeader(message, nowMs);
    }
  }

  private void receiveFromLeader(RaftMessage message, long nowMs) {
    if (message instanceof AppendRequest request) {
      if (acceptLeader(request.header(), nowMs)) {
        follower.onAppendRequest(request);
      } else {
        follower.respondToAppend(request.header(), false, 0, request.sentAtMs());
      }
    } else if (message instanceof SnapshotChunk chunk && acceptLeader(chunk.header(), nowMs)) {
      follower.onSnapshotChunk(chunk);
    }
  }

  private boolean isLeaderInTerm(RaftHeader header) {
    return role == ReplicaRole.LEADER && header.term() == state.term;
  }

  private static boolean isPreVoteGrant(RaftMessage message) {
    return message instanceof VoteResponse response && response.preVote() && response.granted();
  }

  /** The log is durable up to the entry with this index and term. */
  public void onSynced(long index, long entryTerm, long nowMs) {
    if (index <= state.syncedIndex || state.log.term(index) != entryTerm) {
      return;
    }
    state.syncedIndex = index;
    if (role == ReplicaRole.LEADER) {
      leadership.replicator().advanceCommit();
    } else {
      follower.onSynced();
    }
  }

  /** A received snapshot is stored and restored. */
  public void onSnapshotInstalled(SnapshotMetadata metadata, long nowMs) {
    if (!follower.onSnapshotInstalled(metadata)) {
      return;
    }
    committedEntries.onSnapshotInstalled(metadata.index());
    if (role == ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    timer.reset(nowMs);
    follower.acknowledgeSnapshot();
  }

  /** A durable snapshot now covers the state.log up to {@code index}. */
  public void onSnapshotTaken(long index) {
    committedEntries.compact(index);
  }

  /** Sends a part of the newest snapshot that a {@link SnapshotRequest} asked for. */
  public void sendSnapshotChunk(
      SnapshotRequest request, SnapshotMetadata metadata, byte[] data, boolean last, long nowMs) {
    if (role != ReplicaRole.LEADER) {
      return;
    }
    leadership.replicator().sendSnapshotChunk(request, metadata, data, last, nowMs);
  }

  /** Returns what has to be done and forgets it. */
  public Ready takeReady() {
    List<LogEntry> committed = follower.isInstalling() ? List.of() : committedEntries.take();
    Ready ready =
        new Ready(
            state.messages,
            state.records,
            state.messagesAfterSync,
            committed,
            Optional.ofNullable(follower.takeInstall()),
            state.snapshotRequests);
    state.clearOutputs();
    return ready;
  }

  // ---- bootstrap and joining

  private void pollJoining(long nowMs) {
    if (joining.poll(nowMs)) {
      onBootstrapped(nowMs);
    }
  }

  private void onJoinRequest(JoinRequest join, long nowMs) {
    RaftHeader header = join.header();
    if (header.to() != state.id || !joining.isEligible(header.from())) {
      return;
    }
    if (role == ReplicaRole.JOINING) {
      if (joining.onJoinRequestWhileJoining(join)) {
        onBootstrapped(nowMs);
      }
      return;
    }
    joining.answer(join);
    if (role == ReplicaRole.LEADER) {
      leadership.replicator().onJoinRequest(join, nowMs);
    }
  }

  private void onBootstrapped(long nowMs) {
    role = ReplicaRole.FOLLOWER;
    timer.reset(nowMs);
  }

  // ---- elections

  private boolean canCampaign() {
    return state.isVoter() && !follower.isInstalling();
  }

  private void startPreVote(long nowMs) {
    timer.reset(nowMs);
    if (canCampaign()) {
      follower.setLeader(RecoveredState.NO_REPLICA);
      startCampaign(CampaignType.PRE_VOTE, nowMs);
    }
  }

  private void startCampaign(CampaignType campaign, long nowMs) {
    boolean preVote = campaign == CampaignType.PRE_VOTE;
    role = preVote ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
    if (elections.startCampaign(campaign, nowMs)) {
      onCampaignWon(preVote, nowMs);
    }
  }

  private void onTimeoutNow(TimeoutNow handover, long nowMs) {
    RaftHeader header = handover.header();
    boolean fromLeader =
        role == ReplicaRole.FOLLOWER
            && header.term() == state.term
            && header.from() == follower.leaderId();
    if (fromLeader && canCampaign()) {
      startCampaign(CampaignType.LEADERSHIP_TRANSFER, nowMs);
    }
  }

  private void onVoteRequest(VoteRequest request, long nowMs) {
    if (role == ReplicaRole.JOINING) {
      return;
    }
    long requestTerm = request.header().term();
    if (elections.mustRefuse(request, role == ReplicaRole.LEADER, nowMs)) {
      elections.refuse(request);
    } else if (request.preVote()) {
      onPreVoteRequest(request, nowMs);
    } else {
      if (requestTerm > state.term) {
        becomeFollower(requestTerm, RecoveredState.NO_REPLICA, nowMs);
      }
      elections.answerVote(request, role == ReplicaRole.FOLLOWER, nowMs);
    }
  }

  /**
   * Of replicas that ask at the same moment, those with a higher id give way to one that could win,
   * so that they do not split the votes. Only a pre-vote is given up, which promises nothing.
   */
  private void onPreVoteRequest(VoteRequest request, long nowMs) {
    boolean couldWin = elections.answerPreVote(request, nowMs);
    boolean comesFirst = request.header().from() < state.id;
    if (couldWin && comesFirst && role == ReplicaRole.PRE_CANDIDATE) {
      role = ReplicaRole.FOLLOWER;
      elections.endCampaign();
    }
  }

  private void onVoteResponse(VoteResponse response, long nowMs) {
    RaftHeader header = response.header();
    ReplicaRole expectedRole =
        response.preVote() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
    long expectedTerm = response.preVote() ? state.term + 1 : state.term;
    if (role != expectedRole || header.term() != expectedTerm || !response.granted()) {
      return;
    }
    if (elections.onVoteGranted(header)) {
      onCampaignWon(response.preVote(), nowMs);
    }
  }

  private void onCampaignWon(boolean preVote, long nowMs) {
    if (preVote) {
      startCampaign(CampaignType.ELECTION, nowMs);
    } else {
      becomeLeader(nowMs);
    }
  }

  private void becomeLeader(long nowMs) {
    role = ReplicaRole.LEADER;
    follower.setLeader(state.id);
    elections.endCampaign();
    leadership.begin(nowMs);
  }

  private void becomeFollower(long newTerm, int newLeader, long nowMs) {
    if (newTerm > state.term) {
      elections.beginTerm(newTerm);
      follower.onNewTerm();
    }
    if (role == ReplicaRole.LEADER) {
      timer.reset(nowMs);
    }
    if (role != ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    follower.setLeader(newLeader);
    leadership.end();
    elections.endCampaign();
  }

  private void pollLeader(long nowMs) {
    if (!leadership.replicator().isHeartbeatDue(nowMs)) {
      return;
    }
    switch (leadership.nextAction(nowMs)) {
      case TRANSFER_LEADERSHIP -> {
        if (!transferLeadership(nowMs)) {
          becomeFollower(state.term, RecoveredState.NO_REPLICA, nowMs);
        }
      }
      case STEP_DOWN -> becomeFollower(state.term, RecoveredState.NO_REPLICA, nowMs);
      default -> leadership.replicator().heartbeat(nowMs);
    }
  }

  private boolean acceptLeader(RaftHeader header, long nowMs) {
    if (header.term() < state.term) {
      return false;
    }
    boolean sameLeader = follower.leaderId() == header.from() && role == ReplicaRole.FOLLOWER;
    if (!sameLeader) {
      becomeFollower(header.term(), header.from(), nowMs);
    }
    follower.setLeaderIncarnation(header.fromIncarnation());
    timer.onLeaderHeard(nowMs);
    return true;
  }
}
