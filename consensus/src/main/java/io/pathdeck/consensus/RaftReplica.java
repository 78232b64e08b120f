package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.AppendResponse;
import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.SnapshotChunk;
import io.pathdeck.protocol.raft.SnapshotChunkResponse;
import io.pathdeck.protocol.raft.VoteRequest;
import io.pathdeck.protocol.raft.VoteResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

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
 *       election timeout. That is what makes the leader's lease valid.
 * </ul>
 */
public final class RaftReplica {
  private static final long JOIN_INTERVAL_MS = 200;

  private final int group;
  private final int id;
  private final long incarnation;
  private final Set<Integer> initialIds;
  private final RaftSettings settings;
  private final SplittableRandom random;
  private final RaftLog log = new RaftLog();
  private final JoinTracker joins = new JoinTracker();

  private ReplicaRole role = ReplicaRole.JOINING;
  private long term;
  private int votedFor;
  private int leaderId = RecoveredState.NO_VOTE;
  private long leaderIncarnation;

  /** The newest send time, on the leader's clock, among the messages of the current leader. */
  private long lastAppendSentAtMs;

  private GroupConfiguration bootstrap;
  private long commitIndex;
  private long syncedIndex;
  private long verifiedIndex;
  private long deliveredIndex;
  private long refuseVotesUntilMs;
  private long electionDeadlineMs;
  private long nextJoinMs;
  private boolean installing;
  private SnapshotReceiver receiver;
  private VoteTally votes;
  private LeaderState leader;

  private List<RaftMessage> messages = new ArrayList<>();
  private List<LogRecord> records = new ArrayList<>();
  private List<RaftMessage> messagesAfterSync = new ArrayList<>();
  private List<SnapshotRequest> snapshotRequests = new ArrayList<>();
  private SnapshotInstall install;

  /**
   * Restores a replica.
   *
   * @param initialIds the controllers that may take part in the group
   */
  public RaftReplica(
      int group,
      int id,
      long incarnation,
      Set<Integer> initialIds,
      RaftSettings settings,
      RecoveredState recovered,
      long seed,
      long nowMs) {
    this.group = group;
    this.id = id;
    this.incarnation = incarnation;
    this.initialIds = Set.copyOf(initialIds);
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.term = recovered.term();
    this.votedFor = recovered.votedFor();
    this.bootstrap = recovered.bootstrap().orElse(null);
    restoreLog(recovered);
    this.syncedIndex = log.lastIndex();
    this.refuseVotesUntilMs = nowMs + settings.electionTimeoutMinMs();
    resetElectionDeadline(nowMs);
    if (log.hasConfiguration()) {
      role = ReplicaRole.FOLLOWER;
    }
  }

  private void restoreLog(RecoveredState recovered) {
    if (recovered.snapshot().isPresent()) {
      SnapshotMetadata snapshot = recovered.snapshot().get();
      log.reset(snapshot.index(), snapshot.term(), snapshot.configuration());
    } else if (bootstrap != null) {
      log.reset(0, 0, bootstrap);
    } else {
      return;
    }
    commitIndex = log.snapshotIndex();
    deliveredIndex = commitIndex;
    for (LogEntry entry : recovered.entries()) {
      if (entry.index() == log.lastIndex() + 1) {
        log.append(entry);
      }
    }
  }

  // ---- state seen from outside

  public ReplicaRole role() {
    return role;
  }

  public long term() {
    return term;
  }

  /** The leader's id, or -1 when unknown. */
  public int leaderId() {
    return leaderId;
  }

  public long commitIndex() {
    return commitIndex;
  }

  public long lastIndex() {
    return log.lastIndex();
  }

  /** The bytes of entries that no snapshot covers yet. */
  public long logSizeBytes() {
    return log.sizeBytes();
  }

  /** The newest configuration; empty while joining. */
  public Optional<GroupConfiguration> configuration() {
    return log.hasConfiguration() ? Optional.of(log.configuration()) : Optional.empty();
  }

  /** The highest index known to be synced on {@code memberId}; for the leader's reports. */
  public long matchIndex(int memberId) {
    if (memberId == id) {
      return syncedIndex;
    }
    return leader == null ? 0 : leader.matchIndex(memberId);
  }

  /** What a snapshot taken after applying {@code index} must record. */
  public SnapshotMetadata snapshotMetadata(long index) {
    return new SnapshotMetadata(index, log.term(index), log.configurationAt(index));
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
    if (!isMember() && nowMs >= nextJoinMs) {
      sendJoinRequests(nowMs);
    }
    if (nowMs >= electionDeadlineMs) {
      startPreVote(nowMs);
    }
  }

  private boolean isMember() {
    return log.configuration().find(id).filter(m -> m.incarnation() == incarnation).isPresent();
  }

  /** Appends a command; empty when this replica does not lead. */
  public OptionalLong propose(byte[] command, long nowMs) {
    if (role != ReplicaRole.LEADER) {
      return OptionalLong.empty();
    }
    appendAsLeader(new LogEntry(log.lastIndex() + 1, term, command, null), nowMs);
    return OptionalLong.of(log.lastIndex());
  }

  /**
   * The index that must be applied before a linearizable read may be answered; empty when this
   * replica cannot tell that it still leads.
   */
  public OptionalLong readIndex(long nowMs) {
    boolean leads = role == ReplicaRole.LEADER && log.term(commitIndex) == term;
    if (!leads || nowMs - leader.quorumAcknowledgedMs(nowMs) >= settings.leaseMs()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(commitIndex);
  }

  /** Handles a message of another replica. */
  public void receive(RaftMessage message, long nowMs) {
    RaftHeader header = message.header();
    if (message instanceof JoinRequest join) {
      onJoinRequest(join, nowMs);
      return;
    }
    if (header.toIncarnation() != incarnation || header.to() != id) {
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(request, nowMs);
      return;
    }
    if (header.term() > term && !isPreVoteGrant(message)) {
      becomeFollower(header.term(), RecoveredState.NO_VOTE, nowMs);
    }
    if (message instanceof VoteResponse response) {
      onVoteResponse(response, nowMs);
    } else if (message instanceof AppendRequest request) {
      onAppendRequest(request, nowMs);
    } else if (message instanceof AppendResponse response) {
      onAppendResponse(response, nowMs);
    } else if (message instanceof SnapshotChunk chunk) {
      onSnapshotChunk(chunk, nowMs);
    } else if (message instanceof SnapshotChunkResponse response) {
      onSnapshotChunkResponse(response, nowMs);
    }
  }

  private static boolean isPreVoteGrant(RaftMessage message) {
    return message instanceof VoteResponse response && response.preVote() && response.granted();
  }

  /** The log is durable up to the entry with this index and term. */
  public void onSynced(long index, long entryTerm, long nowMs) {
    if (index <= syncedIndex || log.term(index) != entryTerm) {
      return;
    }
    syncedIndex = index;
    if (role == ReplicaRole.LEADER) {
      advanceCommit();
    } else if (leaderId >= 0 && leaderIncarnation != 0) {
      acknowledge(lastAppendSentAtMs);
    }
  }

  /** A received snapshot is stored and restored. */
  public void onSnapshotInstalled(SnapshotMetadata metadata, long nowMs) {
    installing = false;
    receiver = null;
    if (metadata.index() <= commitIndex) {
      return;
    }
    log.reset(metadata.index(), metadata.term(), metadata.configuration());
    commitIndex = metadata.index();
    deliveredIndex = metadata.index();
    syncedIndex = metadata.index();
    verifiedIndex = metadata.index();
    if (role == ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    resetElectionDeadline(nowMs);
    if (leaderId >= 0) {
      acknowledge(lastAppendSentAtMs);
    }
  }

  /** A durable snapshot now covers the log up to {@code index}. */
  public void onSnapshotTaken(long index) {
    log.compact(Math.min(index, deliveredIndex));
  }

  /** Sends a part of the newest snapshot that a {@link SnapshotRequest} asked for. */
  public void sendSnapshotChunk(
      SnapshotRequest request, SnapshotMetadata metadata, byte[] data, boolean last, long nowMs) {
    if (role != ReplicaRole.LEADER) {
      return;
    }
    leader.onSnapshotPartSent(request.member().id(), metadata.index(), nowMs);
    messages.add(
        new SnapshotChunk(
            header(request.member().id(), request.member().incarnation()),
            metadata.index(),
            metadata.term(),
            metadata.configuration(),
            request.offset(),
            data,
            last,
            nowMs));
  }

  /** Returns what has to be done and forgets it. */
  public Ready takeReady() {
    List<LogEntry> committed = new ArrayList<>();
    long deliverable = Math.min(commitIndex, log.lastIndex());
    while (!installing && deliveredIndex < deliverable) {
      deliveredIndex++;
      committed.add(log.entry(deliveredIndex));
    }
    Ready ready =
        new Ready(
            messages,
            records,
            messagesAfterSync,
            committed,
            Optional.ofNullable(install),
            snapshotRequests);
    messages = new ArrayList<>();
    records = new ArrayList<>();
    messagesAfterSync = new ArrayList<>();
    snapshotRequests = new ArrayList<>();
    install = null;
    return ready;
  }

  // ---- bootstrap and joining

  private void pollJoining(long nowMs) {
    if (nowMs < nextJoinMs) {
      return;
    }
    joins.heard(id, incarnation);
    sendJoinRequests(nowMs);
    tryBootstrap(nowMs);
  }

  private void sendJoinRequests(long nowMs) {
    nextJoinMs = nowMs + JOIN_INTERVAL_MS;
    boolean bootstrapped = role != ReplicaRole.JOINING;
    for (int peer : initialIds) {
      if (peer != id) {
        messages.add(new JoinRequest(header(peer, 0), bootstrapped, bootstrap));
      }
    }
  }

  /** Starts the group once every controller was heard to have an empty disk. */
  private void tryBootstrap(long nowMs) {
    if (joins.hasHeardAll(initialIds)) {
      adoptBootstrap(joins.configuration(initialIds), nowMs);
    }
  }

  private void adoptBootstrap(GroupConfiguration configuration, long nowMs) {
    bootstrap = configuration;
    records.add(new BootstrapRecord(group, configuration));
    log.reset(0, 0, configuration);
    role = ReplicaRole.FOLLOWER;
    resetElectionDeadline(nowMs);
  }

  private void onJoinRequest(JoinRequest join, long nowMs) {
    RaftHeader header = join.header();
    if (header.to() != id || !initialIds.contains(header.from())) {
      return;
    }
    if (role == ReplicaRole.JOINING) {
      onJoinRequestWhileJoining(join, nowMs);
      return;
    }
    if (!join.bootstrapped()) {
      RaftHeader answer = header(header.from(), header.fromIncarnation());
      messages.add(new JoinRequest(answer, true, bootstrap));
    }
    if (role == ReplicaRole.LEADER) {
      leader.onJoinRequest(header.from(), header.fromIncarnation(), nowMs);
    }
  }

  /**
   * A bootstrapped peer's configuration is the beginning of the log. A replica that is not in it
   * lost its disk: it follows without a vote until the leader admits its new incarnation.
   */
  private void onJoinRequestWhileJoining(JoinRequest join, long nowMs) {
    if (!join.bootstrapped()) {
      joins.heard(join.header().from(), join.header().fromIncarnation());
      tryBootstrap(nowMs);
    } else if (join.bootstrapConfiguration() != null) {
      adoptBootstrap(join.bootstrapConfiguration(), nowMs);
    }
  }

  // ---- elections

  private void startPreVote(long nowMs) {
    resetElectionDeadline(nowMs);
    if (!log.configuration().isVoter(id, incarnation) || installing) {
      return;
    }
    role = ReplicaRole.PRE_CANDIDATE;
    leaderId = RecoveredState.NO_VOTE;
    campaign(true, nowMs);
  }

  private void startElection(long nowMs) {
    role = ReplicaRole.CANDIDATE;
    term++;
    votedFor = id;
    records.add(new HardStateRecord(group, term, votedFor));
    resetElectionDeadline(nowMs);
    campaign(false, nowMs);
  }

  private void campaign(boolean preVote, long nowMs) {
    votes = new VoteTally(log.configuration());
    votes.add(id, incarnation);
    if (votes.isWon()) {
      onVotesWon(preVote, nowMs);
      return;
    }
    long campaignTerm = preVote ? term + 1 : term;
    for (Member member : log.configuration().members()) {
      if (member.voter() && member.id() != id) {
        RaftHeader header =
            new RaftHeader(group, id, incarnation, member.id(), member.incarnation(), campaignTerm);
        RaftMessage request = new VoteRequest(header, preVote, log.lastIndex(), log.lastTerm());
        (preVote ? messages : messagesAfterSync).add(request);
      }
    }
  }

  private void onVoteRequest(VoteRequest request, long nowMs) {
    RaftHeader from = request.header();
    if (role == ReplicaRole.JOINING) {
      return;
    }
    boolean refusesAll = nowMs < refuseVotesUntilMs || role == ReplicaRole.LEADER;
    if (from.term() < term || refusesAll) {
      respondToVote(request, false);
      return;
    }
    boolean upToDate =
        request.lastTerm() > log.lastTerm()
            || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
    if (request.preVote()) {
      respondToVote(request, upToDate && from.term() > term);
      return;
    }
    if (from.term() > term) {
      becomeFollower(from.term(), RecoveredState.NO_VOTE, nowMs);
    }
    boolean free = votedFor == RecoveredState.NO_VOTE || votedFor == from.from();
    boolean granted = upToDate && free && role == ReplicaRole.FOLLOWER;
    if (granted) {
      votedFor = from.from();
      records.add(new HardStateRecord(group, term, votedFor));
      resetElectionDeadline(nowMs);
    }
    respondToVote(request, granted);
  }

  private void respondToVote(VoteRequest request, boolean granted) {
    RaftHeader from = request.header();
    long responseTerm = request.preVote() && granted ? from.term() : term;
    RaftHeader header =
        new RaftHeader(group, id, incarnation, from.from(), from.fromIncarnation(), responseTerm);
    messagesAfterSync.add(new VoteResponse(header, request.preVote(), granted));
  }

  private void onVoteResponse(VoteResponse response, long nowMs) {
    RaftHeader header = response.header();
    ReplicaRole expectedRole =
        response.preVote() ? ReplicaRole.PRE_CANDIDATE : ReplicaRole.CANDIDATE;
    long expectedTerm = response.preVote() ? term + 1 : term;
    if (role != expectedRole || header.term() != expectedTerm || !response.granted()) {
      return;
    }
    votes.add(header.from(), header.fromIncarnation());
    if (votes.isWon()) {
      onVotesWon(response.preVote(), nowMs);
    }
  }

  private void onVotesWon(boolean preVote, long nowMs) {
    if (preVote) {
      startElection(nowMs);
    } else {
      becomeLeader(nowMs);
    }
  }

  private void becomeLeader(long nowMs) {
    role = ReplicaRole.LEADER;
    leaderId = id;
    votes = null;
    leader = new LeaderState(id, incarnation, settings, log.lastIndex(), nowMs);
    leader.adopt(log.configuration(), log.lastIndex(), nowMs);
    appendAsLeader(new LogEntry(log.lastIndex() + 1, term, null, null), nowMs);
    broadcastHeartbeat(nowMs);
  }

  private void becomeFollower(long newTerm, int newLeader, long nowMs) {
    if (newTerm > term) {
      term = newTerm;
      votedFor = RecoveredState.NO_VOTE;
      records.add(new HardStateRecord(group, term, votedFor));
      verifiedIndex = 0;
      leaderIncarnation = 0;
      lastAppendSentAtMs = 0;
    }
    if (role == ReplicaRole.LEADER) {
      resetElectionDeadline(nowMs);
    }
    if (role != ReplicaRole.JOINING) {
      role = ReplicaRole.FOLLOWER;
    }
    leaderId = newLeader;
    leader = null;
    votes = null;
  }

  private void resetElectionDeadline(long nowMs) {
    long spread = settings.electionTimeoutMaxMs() - settings.electionTimeoutMinMs();
    electionDeadlineMs =
        nowMs + settings.electionTimeoutMinMs() + random.nextLong(Math.max(1, spread));
  }

  // ---- leader

  private void pollLeader(long nowMs) {
    long silenceMs = nowMs - leader.quorumAcknowledgedMs(nowMs);
    if (silenceMs > settings.electionTimeoutMaxMs()) {
      becomeFollower(term, RecoveredState.NO_VOTE, nowMs);
      return;
    }
    if (leader.isHeartbeatDue(nowMs)) {
      changeMembershipIfNeeded(nowMs);
      broadcastHeartbeat(nowMs);
    }
  }

  private void changeMembershipIfNeeded(long nowMs) {
    boolean pending = log.configurationIndex() > commitIndex || log.term(commitIndex) != term;
    if (pending) {
      return;
    }
    leader
        .nextConfiguration(log.configuration(), commitIndex, nowMs)
        .ifPresent(
            next -> {
              LogEntry entry = new LogEntry(log.lastIndex() + 1, term, null, next);
              appendAsLeader(entry, nowMs);
              leader.adopt(next, log.lastIndex(), nowMs);
            });
  }

  private void appendAsLeader(LogEntry entry, long nowMs) {
    log.append(entry);
    records.add(new EntryRecord(group, entry));
    replicateToAll(nowMs);
  }

  private void replicateToAll(long nowMs) {
    for (Member member : log.configuration().members()) {
      if (member.id() != id) {
        replicateTo(member, nowMs);
      }
    }
  }

  private void replicateTo(Member member, long nowMs) {
    FollowerProgress progress = leader.progress(member.id());
    if (progress == null) {
      return;
    }
    if (progress.nextIndex <= log.snapshotIndex()) {
      requestSnapshot(member, progress, nowMs);
      return;
    }
    while (progress.nextIndex <= log.lastIndex()
        && progress.inFlightAppends < settings.maxInFlightAppends()) {
      List<LogEntry> entries = log.slice(progress.nextIndex, settings.maxAppendBytes());
      sendAppend(member, progress.nextIndex - 1, entries, nowMs);
      progress.nextIndex += entries.size();
      progress.inFlightAppends++;
      progress.lastAppendSentMs = nowMs;
    }
  }

  private void requestSnapshot(Member member, FollowerProgress progress, long nowMs) {
    boolean waits =
        progress.isSendingSnapshot()
            && nowMs - progress.lastSnapshotSentMs < settings.retransmitMs();
    if (waits) {
      return;
    }
    progress.snapshotOffset = Math.max(0, progress.snapshotOffset);
    progress.lastSnapshotSentMs = nowMs;
    snapshotRequests.add(new SnapshotRequest(member, progress.snapshotOffset));
  }

  private void broadcastHeartbeat(long nowMs) {
    leader.onHeartbeatSent(nowMs);
    for (Member member : log.configuration().members()) {
      FollowerProgress progress = leader.progress(member.id());
      if (member.id() == id || progress == null) {
        continue;
      }
      leader.expireInFlight(progress, nowMs);
      long previous = Math.max(progress.matchIndex, log.snapshotIndex());
      sendAppend(member, previous, List.of(), nowMs);
      replicateTo(member, nowMs);
    }
  }

  private void sendAppend(Member member, long previous, List<LogEntry> entries, long nowMs) {
    messages.add(
        new AppendRequest(
            header(member.id(), member.incarnation()),
            previous,
            log.term(previous),
            entries,
            commitIndex,
            nowMs));
  }

  private void onAppendResponse(AppendResponse response, long nowMs) {
    RaftHeader header = response.header();
    if (role != ReplicaRole.LEADER || header.term() != term) {
      return;
    }
    FollowerProgress progress = leader.progress(header.from());
    if (progress == null || progress.incarnation != header.fromIncarnation()) {
      return;
    }
    progress.lastAcknowledgedSendMs =
        Math.max(progress.lastAcknowledgedSendMs, response.sentAtMs());
    if (response.success()) {
      leader.onMatched(progress, response.matchIndex());
      advanceCommit();
    } else {
      leader.onMismatch(progress, response.matchIndex());
    }
    log.configuration().find(header.from()).ifPresent(member -> replicateTo(member, nowMs));
  }

  private void onSnapshotChunkResponse(SnapshotChunkResponse response, long nowMs) {
    RaftHeader header = response.header();
    if (role != ReplicaRole.LEADER || header.term() != term) {
      return;
    }
    FollowerProgress progress = leader.progress(header.from());
    if (progress == null || progress.incarnation != header.fromIncarnation()) {
      return;
    }
    progress.lastAcknowledgedSendMs =
        Math.max(progress.lastAcknowledgedSendMs, response.sentAtMs());
    if (!progress.isSendingSnapshot() || response.snapshotIndex() != progress.snapshotIndex) {
      return;
    }
    progress.snapshotOffset = response.nextOffset();
    progress.lastSnapshotSentMs = 0;
    log.configuration().find(header.from()).ifPresent(member -> replicateTo(member, nowMs));
  }

  private void advanceCommit() {
    long candidate = leader.quorumMatchIndex(log.configuration(), syncedIndex);
    if (candidate > commitIndex && log.term(candidate) == term) {
      commitIndex = candidate;
    }
  }

  // ---- follower

  private boolean acceptLeader(RaftHeader header, long nowMs) {
    if (header.term() < term) {
      return false;
    }
    boolean sameLeader = leaderId == header.from() && role == ReplicaRole.FOLLOWER;
    if (!sameLeader) {
      becomeFollower(header.term(), header.from(), nowMs);
    }
    leaderIncarnation = header.fromIncarnation();
    refuseVotesUntilMs = Math.max(refuseVotesUntilMs, nowMs + settings.electionTimeoutMinMs());
    resetElectionDeadline(nowMs);
    return true;
  }

  private void onAppendRequest(AppendRequest request, long nowMs) {
    RaftHeader header = request.header();
    if (!acceptLeader(header, nowMs)) {
      respondToAppend(header, false, 0, request.sentAtMs());
      return;
    }
    if (installing) {
      return;
    }
    lastAppendSentAtMs = Math.max(lastAppendSentAtMs, request.sentAtMs());
    if (role == ReplicaRole.JOINING) {
      respondToAppend(header, false, 0, request.sentAtMs());
      return;
    }
    if (!matchesPrevious(request)) {
      long hint = Math.min(log.lastIndex(), Math.max(commitIndex, log.snapshotIndex()));
      respondToAppend(header, false, hint, request.sentAtMs());
      return;
    }
    boolean appended = appendFromLeader(request.entries());
    long lastInRequest = request.previousIndex() + request.entries().size();
    verifiedIndex = Math.max(verifiedIndex, lastInRequest);
    commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), verifiedIndex));
    if (!appended) {
      acknowledge(request.sentAtMs());
    }
  }

  private boolean matchesPrevious(AppendRequest request) {
    long previous = request.previousIndex();
    if (previous <= commitIndex) {
      return true;
    }
    return previous <= log.lastIndex() && log.term(previous) == request.previousTerm();
  }

  private boolean appendFromLeader(List<LogEntry> entries) {
    boolean appended = false;
    for (LogEntry entry : entries) {
      boolean present =
          entry.index() <= commitIndex
              || (entry.index() <= log.lastIndex() && log.term(entry.index()) == entry.term());
      if (present) {
        continue;
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateFrom(entry.index());
        syncedIndex = Math.min(syncedIndex, entry.index() - 1);
        verifiedIndex = Math.min(verifiedIndex, entry.index() - 1);
      }
      log.append(entry);
      records.add(new EntryRecord(group, entry));
      appended = true;
    }
    return appended;
  }

  /** Tells the leader up to where its log is known to be present and synced here. */
  private void acknowledge(long sentAtMs) {
    long match = Math.min(syncedIndex, verifiedIndex);
    RaftHeader header = header(leaderId, leaderIncarnation);
    messages.add(new AppendResponse(header, true, match, sentAtMs));
  }

  private void respondToAppend(RaftHeader to, boolean success, long index, long sentAtMs) {
    RaftHeader header = header(to.from(), to.fromIncarnation());
    messages.add(new AppendResponse(header, success, index, sentAtMs));
  }

  private void onSnapshotChunk(SnapshotChunk chunk, long nowMs) {
    RaftHeader header = chunk.header();
    if (!acceptLeader(header, nowMs) || installing) {
      return;
    }
    lastAppendSentAtMs = Math.max(lastAppendSentAtMs, chunk.sentAtMs());
    if (chunk.snapshotIndex() <= commitIndex) {
      verifiedIndex = Math.max(verifiedIndex, Math.min(commitIndex, log.lastIndex()));
      acknowledge(chunk.sentAtMs());
      return;
    }
    if (receiver == null || !receiver.isFor(chunk)) {
      receiver = new SnapshotReceiver(chunk);
    }
    long nextOffset = receiver.accept(chunk);
    RaftHeader answer = header(header.from(), header.fromIncarnation());
    messages.add(
        new SnapshotChunkResponse(answer, chunk.snapshotIndex(), nextOffset, chunk.sentAtMs()));
    if (receiver.isComplete()) {
      installing = true;
      install = receiver.toInstall();
    }
  }

  private RaftHeader header(int to, long toIncarnation) {
    return new RaftHeader(group, id, incarnation, to, toIncarnation, term);
  }
}
