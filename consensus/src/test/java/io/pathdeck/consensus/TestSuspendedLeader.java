package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * A leader whose machine is suspended: its steady clock stands still meanwhile.
 *
 * <p>Another member leads and has committed newer commands. The old leader wakes, its clock shows
 * that a quorum acknowledged it some milliseconds ago, and it would answer reads under its lease
 * with what was in force before. Evidence: without the doubt its read index is present 3 s after a
 * new leader committed.
 */
class TestSuspendedLeader {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);
  private static final long SUSPENSION_MS = 3_000;
  private static final long LEASE_RENEWAL_MS = 300;

  private final MemoryGroup group = MemoryGroup.founded(MEMBERS);
  private final RaftReplica before = group.leader().orElseThrow();
  private final int id = before.leaderId();

  private void suspendWhileAnotherLeads() {
    group.suspend(id);
    group.runFor(SUSPENSION_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(before);
    assertThat(group.propose(new byte[] {1})).isTrue();
    group.runFor(LEASE_RENEWAL_MS);
  }

  @Test
  void itsClockAloneDoesNotShowThatItsLeaseIsOver() {
    suspendWhileAnotherLeads();
    group.wake(id);
    assertThat(before.readIndex(group.nowMs(id))).as("why the doubt is needed").isPresent();
  }

  @Test
  void leaderThatDoubtsItsLeaseAnswersNoReadWhenItWakes() {
    suspendWhileAnotherLeads();
    group.wake(id);
    before.doubtLease(group.nowMs(id));
    assertThat(before.readIndex(group.nowMs(id))).isEmpty();
    group.runFor(LEASE_RENEWAL_MS);
    assertThat(before.role()).isEqualTo(ReplicaRole.FOLLOWER);
  }

  @Test
  void leaderThatStillLeadsAnswersReadsAgainAfterAHeartbeat() {
    before.doubtLease(group.nowMs(id));
    assertThat(before.readIndex(group.nowMs(id))).isEmpty();
    group.runFor(LEASE_RENEWAL_MS);
    assertThat(before.readIndex(group.nowMs(id))).isPresent();
  }
}
