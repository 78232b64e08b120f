package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against stale reads from a leader whose machine was suspended. Its monotonic clock stops
 * meanwhile, so its lease looks valid after another member has committed newer commands.
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
        .as("read index before the lease is invalidated")
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
