package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The state of a leader: the replication progress of each member and recent join requests. */
final class LeaderState {
  /**
   * The maximum retransmission timeout, four times the initial one; short enough that a member that
   * was unreachable for long catches up within two seconds.
   */
  private static final long MAX_RETRANSMIT_MS = 1_600;

  private record JoinAttempt(long incarnation, String address, long heardAtMs) {}

  private final int selfId;
  private final long selfIncarnation;
  private final RaftSettings settings;
  private final MembershipPolicy policy;
  private Set<Integer> leaving = Set.of();
  private final CatchUpTarget catchUpTarget;
  private final Map<Integer, FollowerProgress> progress = new HashMap<>();
  private final Map<Integer, JoinAttempt> joinAttempts = new HashMap<>();
  private GroupConfiguration configuration;
  private long lastHeartbeatMs;

  LeaderState(
      int selfId,
      long selfIncarnation,
      RaftSettings settings,
      MembershipPolicy policy,
      long nowMs) {
    this.policy = policy;
    this.selfId = selfId;
    this.selfIncarnation = selfIncarnation;
    this.settings = settings;
    this.catchUpTarget = new CatchUpTarget(settings.electionTimeoutMinMs());
    this.lastHeartbeatMs = nowMs;
  }

  /** Adopts a new configuration; members with an unchanged incarnation keep their progress. */
  void adopt(GroupConfiguration next, long lastIndex, long nowMs) {
    configuration = next;
    progress.keySet().removeIf(id -> next.find(id).isEmpty());
    for (Member member : next.members()) {
      FollowerProgress known = progress.get(member.id());
      if (known == null || known.incarnation != member.incarnation()) {
        progress.put(
            member.id(),
            new FollowerProgress(member.incarnation(), lastIndex + 1, settings, nowMs));
      }
    }
  }

  FollowerProgress progress(int id) {
    return progress.get(id);
  }

  long matchIndex(int id) {
    FollowerProgress known = progress.get(id);
    return known == null ? 0 : known.matchIndex;
  }

  boolean isHeartbeatDue(long nowMs) {
    return nowMs - lastHeartbeatMs >= settings.heartbeatMs();
  }

  void onHeartbeatSent(long nowMs) {
    lastHeartbeatMs = nowMs;
  }

  /**
   * Rewinds a member to {@link FollowerProgress#resendFromIndex} when entries sent to it were not
   * acknowledged within the retransmission timeout.
   *
   * <p>This compares indexes instead of counting messages in flight, since an acknowledgement of
   * earlier entries does not show that a later message arrived. The timeout doubles while there is
   * no progress; otherwise a slow member would be sent the same entries repeatedly, which keeps a
   * saturated link saturated.
   */
  void rewindIfStalled(FollowerProgress follower, long nowMs) {
    boolean stalled =
        follower.nextIndex > follower.resendFromIndex
            && nowMs - follower.lastAppendProgressMs >= follower.retransmitMs;
    if (stalled) {
      follower.window.onLoss();
      follower.nextIndex = follower.resendFromIndex;
      follower.rewoundAtMs = nowMs;
      follower.retransmitMs = Math.min(2 * follower.retransmitMs, MAX_RETRANSMIT_MS);
    }
  }

  void onAppendAccepted(FollowerProgress follower, long matchIndex, long nowMs) {
    if (matchIndex > follower.matchIndex) {
      follower.matchIndex = matchIndex;
      follower.retransmitMs = settings.retransmitMs();
      follower.resendFromIndex = matchIndex + 1;
      follower.window.onAcknowledged(matchIndex);
      follower.lastAppendProgressMs = nowMs;
    }
    follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1);
    boolean snapshotDone =
        follower.isSendingSnapshot() && follower.matchIndex >= follower.snapshotIndex;
    if (snapshotDone) {
      follower.snapshotOffset = -1;
    }
  }

  /**
   * Rewinds a member whose log is shorter than the leader's or differs from it.
   *
   * <p>When one message is lost, all messages in flight behind it are rejected. Only the first of
   * these rejections counts; rewinding for each would send all entries again each time.
   *
   * @param hint the last index at which the member's log may match
   * @param sentAtMs when the rejected message was sent
   * @return whether the member was rewound
   */
  boolean onAppendRejected(FollowerProgress follower, long hint, long sentAtMs, long nowMs) {
    if (sentAtMs <= follower.rewoundAtMs) {
      return false;
    }
    long target = Math.max(follower.matchIndex + 1, hint + 1);
    if (target >= follower.nextIndex) {
      return false;
    }
    follower.nextIndex = target;
    follower.resendFromIndex = target;
    follower.rewoundAtMs = nowMs;
    follower.window.onLoss();
    return true;
  }

  /**
   * Records that a snapshot chunk was sent. When the snapshot is newer than the previous one, the
   * receiver asks for it from the beginning.
   */
  void onSnapshotChunkSent(int memberId, long snapshotIndex, long nowMs) {
    FollowerProgress follower = progress.get(memberId);
    if (follower == null) {
      return;
    }
    follower.snapshotIndex = snapshotIndex;
    follower.lastSnapshotSentMs = nowMs;
  }

  /**
   * The latest time such that a quorum of voters has acknowledged a message that was sent at or
   * after it. The leader counts as a voter that has acknowledged a message sent at {@code nowMs}.
   */
  long quorumAcknowledgedSendMs(long nowMs) {
    return quorumValue(configuration, follower -> follower.lastAcknowledgedSendMs, nowMs);
  }

  /** The highest index that a quorum of voters has synced. */
  long quorumMatchIndex(GroupConfiguration current, long selfSyncedIndex) {
    return quorumValue(current, follower -> follower.matchIndex, selfSyncedIndex);
  }

  private long quorumValue(
      GroupConfiguration current,
      java.util.function.ToLongFunction<FollowerProgress> value,
      long selfValue) {
    List<Long> values = new ArrayList<>();
    for (Member member : current.members()) {
      if (!member.voter()) {
        continue;
      }
      boolean isSelf = member.id() == selfId && member.incarnation() == selfIncarnation;
      values.add(isSelf ? selfValue : value.applyAsLong(progress.get(member.id())));
    }
    values.sort(Collections.reverseOrder());
    return values.get(current.quorum() - 1);
  }

  void onJoinRequest(JoinRequest join, long nowMs) {
    RaftHeader header = join.header();
    joinAttempts.put(
        header.from(), new JoinAttempt(header.fromIncarnation(), join.address(), nowMs));
  }

  void setLeaving(Set<Integer> ids) {
    leaving = ids;
  }

  /** Records the commit index, which an entry of this leader's term has reached. */
  void onHeartbeatDue(long commitIndex, long nowMs) {
    catchUpTarget.observe(commitIndex, nowMs);
  }

  /**
   * The configuration after the next single-member change, if one is due: a member whose disk was
   * lost becomes a learner under its new incarnation, a learner that has caught up becomes a voter,
   * a new replica is admitted as a learner, or a leaving or silent member is removed.
   */
  Optional<GroupConfiguration> nextConfiguration(
      GroupConfiguration current, long commitIndex, long nowMs) {
    for (Member member : current.members()) {
      Optional<Member> change = changeFor(member, commitIndex, nowMs);
      if (change.isPresent()) {
        return Optional.of(current.with(change.get()));
      }
    }
    if (!policy.open()) {
      return Optional.empty();
    }
    return newLearner(current, nowMs)
        .map(current::with)
        .or(() -> memberToRemove(current, nowMs).map(member -> current.without(member.id())));
  }

  private Optional<Member> changeFor(Member member, long commitIndex, long nowMs) {
    if (member.id() == selfId) {
      return Optional.empty();
    }
    FollowerProgress follower = progress.get(member.id());
    boolean caughtUp = catchUpTarget.isReached(follower.matchIndex, commitIndex);
    if (!member.voter() && caughtUp && !leaving.contains(member.id())) {
      return Optional.of(new Member(member.id(), member.incarnation(), true, member.address()));
    }
    JoinAttempt join = joinAttempts.get(member.id());
    boolean wantsToJoin = isRecent(join, nowMs) && join.incarnation() != member.incarnation();
    if (wantsToJoin && silenceMs(member, nowMs) >= settings.electionTimeoutMinMs()) {
      return Optional.of(new Member(member.id(), join.incarnation(), false, join.address()));
    }
    return Optional.empty();
  }

  private boolean isRecent(JoinAttempt join, long nowMs) {
    return join != null && nowMs - join.heardAtMs() < settings.electionTimeoutMinMs();
  }

  private long silenceMs(Member member, long nowMs) {
    return nowMs - progress.get(member.id()).lastAcknowledgedSendMs;
  }

  private Optional<Member> newLearner(GroupConfiguration current, long nowMs) {
    for (Map.Entry<Integer, JoinAttempt> entry : joinAttempts.entrySet()) {
      int id = entry.getKey();
      JoinAttempt join = entry.getValue();
      boolean memberOrLeaving = current.find(id).isPresent() || leaving.contains(id);
      if (!memberOrLeaving && isRecent(join, nowMs)) {
        return Optional.of(new Member(id, join.incarnation(), false, join.address()));
      }
    }
    return Optional.empty();
  }

  /**
   * The voter with the highest match index among the responsive ones that were sent the last log
   * entry, whether they acknowledged it or not.
   */
  Optional<Member> transferTarget(GroupConfiguration current, long lastIndex, long nowMs) {
    return current.members().stream()
        .filter(member -> member.voter() && member.id() != selfId)
        .filter(member -> !leaving.contains(member.id()))
        .filter(member -> progress.get(member.id()).nextIndex > lastIndex)
        .filter(member -> silenceMs(member, nowMs) < settings.electionTimeoutMinMs())
        .max(Comparator.comparingLong(member -> matchIndex(member.id())));
  }

  private Optional<Member> memberToRemove(GroupConfiguration current, long nowMs) {
    boolean votersToSpare = current.voterCount() > policy.minVoters();
    return current.members().stream()
        .filter(member -> member.id() != selfId)
        .filter(member -> !member.voter() || votersToSpare)
        .filter(
            member ->
                leaving.contains(member.id()) || silenceMs(member, nowMs) >= policy.maxSilenceMs())
        .max(Comparator.comparingLong(member -> silenceMs(member, nowMs)));
  }
}
