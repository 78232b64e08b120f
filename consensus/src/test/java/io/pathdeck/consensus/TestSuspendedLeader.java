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

  private final InMemoryGroup group = InMemoryGroup.withLeader(MEMBERS);
  private final RaftReplica oldLeader = group.leader().orElseThrow();
  private final int oldLeaderId = oldLeader.leaderId();

  private void suspendLeaderUntilReplaced() {
    group.suspend(oldLeaderId);
    group.runFor(SUSPENSION_MS);
    assertThat(group.leader()).isPresent().get().isNotSameAs(oldLeader);
    assertThat(group.propose(new byte[] {1})).isTrue();
    group.runFor(LEASE_RENEWAL_MS);
  }

  @Test
  void leaseLooksValidAfterSuspension() {
    suspendLeaderUntilReplaced();
    group.resume(oldLeaderId);
    assertThat(oldLeader.readIndex(group.nowMs(oldLeaderId)))
        .as("why the doubt is needed")
        .isPresent();
  }

  @Test
  void invalidatedLeaseBlocksReadsAfterSuspension() {
    suspendLeaderUntilReplaced();
    group.resume(oldLeaderId);
    oldLeader.invalidateLease(group.nowMs(oldLeaderId));
    assertThat(oldLeader.readIndex(group.nowMs(oldLeaderId))).isEmpty();
    group.runFor(LEASE_RENEWAL_MS);
    assertThat(oldLeader.role()).isEqualTo(ReplicaRole.FOLLOWER);
  }

  @Test
  void heartbeatRenewsInvalidatedLease() {
    oldLeader.invalidateLease(group.nowMs(oldLeaderId));
    assertThat(oldLeader.readIndex(group.nowMs(oldLeaderId))).isEmpty();
    group.runFor(LEASE_RENEWAL_MS);
    assertThat(oldLeader.readIndex(group.nowMs(oldLeaderId))).isPresent();
  }
}
