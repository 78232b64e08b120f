package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.AppendResponse;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.RaftMessage;
import io.pathdeck.protocol.raft.SnapshotChunk;
import io.pathdeck.protocol.raft.SnapshotChunkResponse;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The leader's side of replication: appends entries, sends them to the members, advances the commit
 * index and changes the membership one member at a time. One instance serves one term.
 */
final class Replicator {
  private final ReplicaState state;
  private final LeaderState leaderState;

  Replicator(ReplicaState state, MembershipPolicy policy, long nowMs) {
    this.state = state;
    this.leaderState = new LeaderState(state.id, state.incarnation, state.settings, policy, nowMs);
    leaderState.adopt(state.log.configuration(), state.log.lastIndex(), nowMs);
  }

  long matchIndex(int memberId) {
    return leaderState.matchIndex(memberId);
  }

  /** The age of the latest message that a quorum has acknowledged. */
  long quorumSilenceMs(long nowMs) {
    return nowMs - leaderState.quorumAcknowledgedSendMs(nowMs);
  }

  void onJoinRequest(JoinRequest join, long nowMs) {
    leaderState.onJoinRequest(join, nowMs);
  }

  void setLeaving(Set<Integer> ids) {
    leaderState.setLeaving(ids);
  }

  /**
   * The voter to transfer leadership to; empty when there is none. It is responsive and was sent
   * the last log entry, but may not have acknowledged it.
   */
  Optional<Member> transferTarget(long nowMs) {
    return leaderState.transferTarget(state.log.configuration(), state.log.lastIndex(), nowMs);
  }

  boolean isHeartbeatDue(long nowMs) {
    return leaderState.isHeartbeatDue(nowMs);
  }

  /** Proposes a membership change if one is due, and sends heartbeats. */
  void heartbeat(long nowMs) {
    changeMembershipIfNeeded(nowMs);
    broadcastHeartbeat(nowMs);
  }

  /** Sends a chunk of the newest snapshot. */
  void sendSnapshotChunk(
      SnapshotRequest request, SnapshotMetadata metadata, byte[] data, boolean last, long nowMs) {
    leaderState.onSnapshotChunkSent(request.member().id(), metadata.index(), nowMs);
    state.messages.add(
        new SnapshotChunk(
            state.header(request.member().id(), request.member().incarnation()),
            metadata.index(),
            metadata.term(),
            metadata.configuration(),
            request.offset(),
            data,
            last,
            nowMs));
  }

  private void changeMembershipIfNeeded(long nowMs) {
    boolean ownTermCommitted = state.log.term(state.commitIndex) == state.term;
    if (!ownTermCommitted) {
      return;
    }
    leaderState.onHeartbeatDue(state.commitIndex, nowMs);
    boolean changePending = state.log.configurationIndex() > state.commitIndex;
    if (changePending) {
      return;
    }
    leaderState
        .nextConfiguration(state.log.configuration(), state.commitIndex, nowMs)
        .ifPresent(
            next -> {
              LogEntry entry = new LogEntry(state.log.lastIndex() + 1, state.term, null, next);
              append(entry, nowMs);
              leaderState.adopt(next, state.log.lastIndex(), nowMs);
            });
  }

  void append(LogEntry entry, long nowMs) {
    state.log.append(entry);
    state.records.add(new EntryRecord(state.group, entry));
    replicateToAll(nowMs);
  }

  private void replicateToAll(long nowMs) {
    for (Member member : state.log.configuration().members()) {
      if (member.id() != state.id) {
        replicateTo(member, nowMs);
      }
    }
  }

  private void replicateTo(Member member, long nowMs) {
    FollowerProgress progress = leaderState.progress(member.id());
    if (progress == null) {
      return;
    }
    if (progress.nextIndex <= state.log.snapshotIndex()) {
      requestSnapshot(member, progress, nowMs);
      return;
    }
    while (progress.nextIndex <= state.log.lastIndex() && progress.window.hasRoom()) {
      List<LogEntry> entries = state.log.slice(progress.nextIndex, state.settings.maxAppendBytes());
      sendAppend(member, progress.nextIndex - 1, entries, nowMs);
      countSentBytes(progress, entries);
      progress.nextIndex += entries.size();
      progress.window.onSent(progress.nextIndex - 1);
      progress.lastAppendProgressMs = nowMs;
    }
  }

  private void countSentBytes(FollowerProgress progress, List<LogEntry> entries) {
    long sentBytes = 0;
    long resentBytes = 0;
    for (LogEntry entry : entries) {
      sentBytes += entry.sizeBytes();
      resentBytes += entry.index() <= progress.highestSentIndex ? entry.sizeBytes() : 0;
      progress.highestSentIndex = Math.max(progress.highestSentIndex, entry.index());
    }
    state.statistics = state.statistics.plus(sentBytes, resentBytes);
  }

  private void requestSnapshot(Member member, FollowerProgress progress, long nowMs) {
    boolean awaitsResponse =
        progress.isSendingSnapshot()
            && nowMs - progress.lastSnapshotSentMs < state.settings.retransmitMs();
    if (awaitsResponse) {
      return;
    }
    progress.snapshotOffset = Math.max(0, progress.snapshotOffset);
    progress.lastSnapshotSentMs = nowMs;
    state.snapshotRequests.add(new SnapshotRequest(member, progress.snapshotOffset));
  }

  void broadcastHeartbeat(long nowMs) {
    leaderState.onHeartbeatSent(nowMs);
    for (Member member : state.log.configuration().members()) {
      FollowerProgress progress = leaderState.progress(member.id());
      if (member.id() == state.id || progress == null) {
        continue;
      }
      leaderState.rewindIfStalled(progress, nowMs);
      long previousIndex = Math.max(lastCommonIndex(progress), state.log.snapshotIndex());
      sendAppend(member, previousIndex, List.of(), nowMs);
      replicateTo(member, nowMs);
    }
  }

  /**
   * The index that a heartbeat refers to: the match index or, while none is known, the index before
   * the next entry to send. Index 0 would match any log, so a member that lacks entries would not
   * reject the heartbeat, and the leader would not rewind it.
   */
  private static long lastCommonIndex(FollowerProgress progress) {
    return progress.matchIndex > 0 ? progress.matchIndex : progress.nextIndex - 1;
  }

  private void sendAppend(Member member, long previousIndex, List<LogEntry> entries, long nowMs) {
    state.messages.add(
        new AppendRequest(
            state.header(member.id(), member.incarnation()),
            previousIndex,
            state.log.term(previousIndex),
            entries,
            state.commitIndex,
            nowMs));
  }

  /**
   * Records the send time of the answered message and returns the sender's progress; null when the
   * configuration does not contain the sender's incarnation.
   */
  private FollowerProgress recordResponse(RaftHeader header, long sentAtMs) {
    FollowerProgress progress = leaderState.progress(header.from());
    if (progress == null || progress.incarnation != header.fromIncarnation()) {
      return null;
    }
    progress.lastAcknowledgedSendMs = Math.max(progress.lastAcknowledgedSendMs, sentAtMs);
    return progress;
  }

  /** Handles a response from a member; other messages are ignored. */
  void receive(RaftMessage message, long nowMs) {
    if (message instanceof AppendResponse response) {
      onAppendResponse(response, nowMs);
    } else if (message instanceof SnapshotChunkResponse response) {
      onSnapshotChunkResponse(response, nowMs);
    }
  }

  private void onAppendResponse(AppendResponse response, long nowMs) {
    RaftHeader header = response.header();
    FollowerProgress progress = recordResponse(header, response.sentAtMs());
    if (progress == null) {
      return;
    }
    if (response.success()) {
      leaderState.onAppendAccepted(progress, response.matchIndex(), nowMs);
      advanceCommit();
    } else if (!leaderState.onAppendRejected(
        progress, response.matchIndex(), response.sentAtMs(), nowMs)) {
      return;
    }
    state.log.configuration().find(header.from()).ifPresent(member -> replicateTo(member, nowMs));
  }

  private void onSnapshotChunkResponse(SnapshotChunkResponse response, long nowMs) {
    RaftHeader header = response.header();
    FollowerProgress progress = recordResponse(header, response.sentAtMs());
    if (progress == null) {
      return;
    }
    if (!progress.isSendingSnapshot() || response.snapshotIndex() != progress.snapshotIndex) {
      return;
    }
    if (response.nextOffset() == progress.snapshotOffset) {
      // Response to a chunk that was sent twice; the next one is already on its way.
      return;
    }
    progress.snapshotOffset = response.nextOffset();
    progress.lastSnapshotSentMs = 0;
    state.log.configuration().find(header.from()).ifPresent(member -> replicateTo(member, nowMs));
  }

  void advanceCommit() {
    long quorumIndex = leaderState.quorumMatchIndex(state.log.configuration(), state.syncedIndex);
    if (quorumIndex > state.commitIndex && state.log.term(quorumIndex) == state.term) {
      state.commitIndex = quorumIndex;
    }
  }
}
