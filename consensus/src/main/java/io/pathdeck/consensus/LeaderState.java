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

/** What a replica knows while it leads: the progress of the members and who wants to join. */
final class LeaderState {
  /**
   * The longest time the leader waits before it sends again: four times the usual one, so that a
   * member that was cut off for long still catches up within two seconds.
   */
  private static final long MAX_RETRANSMIT_MS = 1_600;

  private record JoinAttempt(long incarnation, String address, long heardAtMs) {}

  private final int selfId;
  private final long selfIncarnation;
  private final RaftSettings settings;
  private final MembershipPolicy policy;
  private Set<Integer> leaving = Set.of();
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
    this.lastHeartbeatMs = nowMs;
  }

  /** Follows the members of a new configuration; known incarnations keep their progress. */
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
   * Sends entries again that were not acknowledged in time. What counts is that something sent is
   * outstanding, not how many messages are: an acknowledgement of earlier entries says nothing
   * about a later message that was lost. The wait doubles while there is no progress: a member that
   * is only slow would otherwise be sent the same again and again, and a full link stay full.
   */
  void rewindIfStalled(FollowerProgress follower, long nowMs) {
    boolean stalled =
        follower.nextIndex > follower.resendFrom
            && nowMs - follower.lastAppendProgressMs >= follower.retransmitMs;
    if (stalled) {
      follower.window.onLoss();
      follower.nextIndex = follower.resendFrom;
      follower.rewoundAtMs = nowMs;
      follower.retransmitMs = Math.min(2 * follower.retransmitMs, MAX_RETRANSMIT_MS);
    }
  }

  void onAppendAccepted(FollowerProgress follower, long matchIndex, long nowMs) {
    if (matchIndex > follower.matchIndex) {
      follower.matchIndex = matchIndex;
      follower.retransmitMs = settings.retransmitMs();
      follower.resendFrom = matchIndex + 1;
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
   * The member's log ends earlier or differs: go back as far as it says.
   *
   * <p>When one message is lost, all that were on their way behind it are answered with a mismatch.
   * Only the first of these answers counts; going back for each would send everything as often.
   *
   * @param sentAtMs when the message was sent that is answered
   * @return whether that is news
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
    follower.resendFrom = target;
    follower.rewoundAtMs = nowMs;
    follower.window.onLoss();
    return true;
  }

  /** Records that a snapshot part was sent; a newer snapshot starts again from its beginning. */
  void onSnapshotChunkSent(int memberId, long snapshotIndex, long nowMs) {
    FollowerProgress follower = progress.get(memberId);
    if (follower == null) {
      return;
    }
    follower.snapshotIndex = snapshotIndex;
    follower.lastSnapshotSentMs = nowMs;
  }

  /** The newest send time that a quorum of voters has answered, the leader itself included. */
  long quorumAcknowledgedMs(long nowMs) {
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
      boolean self = member.id() == selfId && member.incarnation() == selfIncarnation;
      values.add(self ? selfValue : value.applyAsLong(progress.get(member.id())));
    }
    values.sort(Collections.reverseOrder());
    return values.get(current.quorum() - 1);
  }

  void onJoinRequest(JoinRequest join, long nowMs) {
    RaftHeader from = join.header();
    joinAttempts.put(from.from(), new JoinAttempt(from.fromIncarnation(), join.address(), nowMs));
  }

  void setLeaving(Set<Integer> ids) {
    leaving = ids;
  }

  /**
   * The next single change of membership: a member whose disk was lost becomes a learner under its
   * new incarnation, a learner that has caught up becomes a voter, a newcomer is admitted as a
   * learner, or a member that leaves or is silent is removed.
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
    boolean caughtUp = follower.matchIndex >= commitIndex && follower.matchIndex > 0;
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
      boolean admitted = current.find(id).isPresent() || leaving.contains(id);
      if (!admitted && isRecent(join, nowMs)) {
        return Optional.of(new Member(id, join.incarnation(), false, join.address()));
      }
    }
    return Optional.empty();
  }

  /** The voter that answers, was sent the whole log and has acknowledged most of it. */
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
