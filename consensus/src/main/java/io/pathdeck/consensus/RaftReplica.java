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
 * One replica of a Raft group, as a deterministic state machine without I/O or threads.
 *
 * <p>The caller supplies the time and incoming messages and carries out what {@link #takeReady}
 * returns. In addition to Raft's rules, safety depends on the following:
 *
 * <ul>
 *   <li>A vote is sent only after it is durable, and an acknowledgement covers only synced entries.
 *   <li>A member is identified by its id <em>and</em> the incarnation of its data folder. Votes and
 *       acknowledgements of any other incarnation are not counted, so a replica that lost its disk
 *       cannot help to elect a leader that lacks entries which the lost disk acknowledged. It
 *       becomes a learner and votes again only after it has caught up.
 *   <li>A replica that heard from a leader, or has just started, refuses votes for the minimum
 *       election timeout, which makes the leader's lease safe. Leadership transfer bypasses this,
 *       since the leader steps down before it sends {@link TimeoutNow}.
 * </ul>
 */
public final class RaftReplica {
  private final ReplicaState state;
  private final FollowerLog followerLog;
  private final JoinProtocol joining;
  private final ElectionTimer timer;
  private final MembershipPolicy policy;
  private final Elections elections;
  private final CommittedEntries committedEntries;
  private final Leadership leadership;
  private ReplicaRole role = ReplicaRole.JOINING;

  /**
   * Restores a replica from its recovered state.
   *
   * @param processStartMs a time at or after the start of this process, on the clock of {@code
   *     nowMs}
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
    this.followerLog = new FollowerLog(state);
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

  // ---- accessors

  public ReplicaRole role() {
    return role;
  }

  public long term() {
    return state.term;
  }

  /** The id of the leader, or -1 when unknown. */
  public int leaderId() {
    return followerLog.leaderId();
  }

  public long commitIndex() {
    return state.commitIndex;
  }

  public long lastIndex() {
    return state.log.lastIndex();
  }

  /** The size in bytes of the entries that no snapshot covers yet. */
  public long logSizeBytes() {
    return state.log.sizeBytes();
  }

  /** The newest configuration; empty while joining. */
  public Optional<GroupConfiguration> configuration() {
    return state.log.hasConfiguration() ? Optional.of(state.log.configuration()) : Optional.empty();
  }

  /** Whether this incarnation of the replica votes in a committed configuration. */
  public boolean isVoter() {
    return configurationIfCommitted().isPresent() && state.isVoter();
  }

  /** The newest configuration once it is committed; empty while a membership change is pending. */
  public Optional<GroupConfiguration> configurationIfCommitted() {
    return configuration().filter(next -> state.log.configurationIndex() <= state.commitIndex);
  }

  /**
   * The highest index known to be synced on a member; 0 for other members while this replica does
   * not lead.
   */
  public long matchIndex(int memberId) {
    if (memberId == state.id) {
      return state.syncedIndex;
    }
    return leadership.matchIndex(memberId);
  }

  /** The bytes of log entries that this replica has sent as leader. */
  public ReplicationStatistics statistics() {
    return state.statistics;
  }

  /** Adds replicas to ask for admission to the group. */
  public void addContacts(Set<Integer> ids) {
    joining.addContacts(ids);
  }

  /**
   * Lets a joining replica that does not know the founders of its group form the group with {@code
   * ids}; returns whether it may do so from now on.
   *
   * @param ids the founders named at the first start of the system, so that no replica hears of
   *     others
   */
  public boolean learnFounders(Set<Integer> ids) {
    return role == ReplicaRole.JOINING && joining.learnFounders(ids);
  }

  /**
   * Starts a joining replica from the first configuration of its group; ignored in any other role.
   */
  public void bootstrap(GroupConfiguration configuration, long nowMs) {
    if (role == ReplicaRole.JOINING) {
      joining.adopt(configuration);
      onBootstrapped(nowMs);
    }
  }

  /**
   * Sets the members to be removed. The leader removes them while enough voters remain; a leader
   * that is one of them transfers leadership or steps down.
   */
  public void setLeaving(Set<Integer> ids) {
    leadership.setLeaving(ids);
    timer.setLeaving(leadership.isLeaving(state.id));
  }

  /**
   * Steps down and tells the most up-to-date voter to campaign immediately.
   *
   * <p>The leader steps down before the message is sent, so it no longer serves reads under its
   * lease. The successor has been sent all uncommitted entries before that message, over the same
   * connection.
   *
   * @return whether a successor was found; otherwise nothing changes
   */
  public boolean transferLeadership(long nowMs) {
    if (role != ReplicaRole.LEADER || !leadership.sendTimeoutNow(nowMs)) {
      return false;
    }
    becomeFollower(state.term, RecoveredState.NO_REPLICA, nowMs);
    return true;
  }

  /** The metadata of a snapshot taken after applying {@code index}. */
  public SnapshotMetadata snapshotMetadata(long index) {
    return new SnapshotMetadata(index, state.log.term(index), state.log.configurationAt(index));
  }

  // ---- inputs

  /** Runs the actions whose timers have expired. */
  public void poll(long nowMs) {
    switch (role) {
      case JOINING -> pollJoining(nowMs);
      case LEADER -> pollLeader(nowMs);
      default -> pollFollower(nowMs);
    }
  }

  private void pollFollower(long nowMs) {
    boolean mayBeRemoved = policy.open() && timer.isLeaderLost(nowMs);
    if (!state.isMember() || mayBeRemoved) {
      joining.askToJoin(nowMs);
    }
    if (timer.isExpired(nowMs)) {
      startPreVote(nowMs);
    }
  }

  /** Appends a command and returns its index; empty when this replica does not lead. */
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
   * replica cannot be sure that it still leads.
   */
  public OptionalLong readIndex(long nowMs) {
    return role == ReplicaRole.LEADER ? leadership.readIndex(nowMs) : OptionalLong.empty();
  }

  /**
   * Invalidates the leader's lease. The caller does so when more time may have passed than the
   * clock shows, for example after a suspension of the machine.
   */
  public void invalidateLease(long nowMs) {
    leadership.invalidateLease(nowMs);
  }

  /** Handles a message from another replica. */
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
    } else if (message instanceof TimeoutNow timeoutNow) {
      onTimeoutNow(timeoutNow, nowMs);
    } else if (isLeaderInTerm(header)) {
      leadership.receive(message, nowMs);
    } else {
      receiveFromLeader(message, nowMs);
    }
  }

  private void receiveFromLeader(RaftMessage message, long nowMs) {
    if (message instanceof AppendRequest request) {
      if (acceptLeader(request.header(), nowMs)) {
        followerLog.onAppendRequest(request);
      } else {
        followerLog.respondToAppend(request.header(), false, 0, request.sentAtMs());
      }
    } else if (message instanceof SnapshotChunk chunk && acceptLeader(chunk.header(), nowMs)) {
      followerLog.onSnapshotChunk(chunk);
    }
  }

  private boolean isLeaderInTerm(RaftHeader header) {
    return role == ReplicaRole.LEADER && header.term() == state.term;
  }

  private static boolean isPreVoteGrant(RaftMessage message) {
    return message instanceof VoteResponse response && response.preVote() && response.granted();
  }

  /** Called when the log is durable up to the entry with this index and term. */
  public void onSynced(long index, long entryTerm, long nowMs) {
    if (index <= state.syncedIndex || state.log.term(index) != entryTerm) {
      return;
    }
    state.syncedIndex = index;
    if (role == ReplicaRole.LEADER) {
      leadership.replicator().advanceCommit();
    } else {
      followerLog.onSynced();
    }
  }

  /** Called when a received snapshot has been stored and restored. */
  public void onSnapshotInstalled(SnapshotMetadata metadata, long nowMs) {
    if (!followerLog.onSnapshotInstalled(metadata)) {
      return;
    }
    committedEntries.onSnapshotInstalled(metadata.index());
    if (role == ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    timer.reset(nowMs);
    followerLog.acknowledgeSnapshot();
  }

  /** Called when a durable snapshot covers the log up to {@code index}. */
  public void onSnapshotTaken(long index) {
    committedEntries.compact(index);
  }

  /** Sends the chunk of the newest snapshot that {@code request} asked for. */
  public void sendSnapshotChunk(
      SnapshotRequest request, SnapshotMetadata metadata, byte[] data, boolean last, long nowMs) {
    if (role != ReplicaRole.LEADER) {
      return;
    }
    leadership.replicator().sendSnapshotChunk(request, metadata, data, last, nowMs);
  }

  /** Returns the pending outputs and clears them. */
  public Ready takeReady() {
    List<LogEntry> committed = followerLog.isInstalling() ? List.of() : committedEntries.take();
    return state.takeOutputs(committed, Optional.ofNullable(followerLog.takeInstall()));
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
      if (joining.onJoinRequestWhileJoining(join, nowMs)) {
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
    return state.isVoter() && !followerLog.isInstalling();
  }

  private void startPreVote(long nowMs) {
    timer.reset(nowMs);
    if (canCampaign()) {
      followerLog.setLeader(RecoveredState.NO_REPLICA);
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

  private void onTimeoutNow(TimeoutNow timeoutNow, long nowMs) {
    RaftHeader header = timeoutNow.header();
    boolean fromLeader =
        role == ReplicaRole.FOLLOWER
            && header.term() == state.term
            && header.from() == followerLog.leaderId();
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
   * Avoids split votes: a pre-candidate abandons its pre-vote in favor of a replica with a lower id
   * that could win. Pre-votes are not binding, so this is safe.
   */
  private void onPreVoteRequest(VoteRequest request, long nowMs) {
    boolean couldWin = elections.answerPreVote(request, nowMs);
    boolean hasLowerId = request.header().from() < state.id;
    if (couldWin && hasLowerId && role == ReplicaRole.PRE_CANDIDATE) {
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
    followerLog.setLeader(state.id);
    elections.endCampaign();
    leadership.begin(nowMs);
  }

  private void becomeFollower(long newTerm, int newLeader, long nowMs) {
    if (newTerm > state.term) {
      elections.beginTerm(newTerm);
      followerLog.onNewTerm();
    }
    if (role == ReplicaRole.LEADER) {
      timer.reset(nowMs);
    }
    if (role != ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    followerLog.setLeader(newLeader);
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
    boolean sameLeader = followerLog.leaderId() == header.from() && role == ReplicaRole.FOLLOWER;
    if (!sameLeader) {
      becomeFollower(header.term(), header.from(), nowMs);
    }
    followerLog.setLeaderIncarnation(header.fromIncarnation());
    timer.onLeaderHeard(nowMs);
    return true;
  }
}
