package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Replicas that campaign at the same time elect a leader without a second round. */
class TestSimultaneousCampaigns {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);
  private static final long MIN_ELECTION_TIMEOUT_MS = RaftSettings.DEFAULT.electionTimeoutMinMs();
  private static final long MAX_ELECTION_TIMEOUT_MS = RaftSettings.DEFAULT.electionTimeoutMaxMs();

  /** Two round trips of two steps each plus some slack; far below an election timeout. */
  private static final long ELECTION_MS = 10 * InMemoryGroup.STEP_MS;

  private final InMemoryGroup group = InMemoryGroup.withLeader(MEMBERS);

  private List<Integer> isolateLeader() {
    int leaderId = group.leader().orElseThrow().leaderId();
    group.isolate(leaderId);
    group.runFor(MIN_ELECTION_TIMEOUT_MS);
    List<Integer> others = MEMBERS.stream().filter(id -> id != leaderId).sorted().toList();
    assertThat(others).allMatch(id -> group.replica(id).role() == ReplicaRole.FOLLOWER);
    return others;
  }

  private void campaign(int id) {
    group.replica(id).poll(group.nowMs() + MAX_ELECTION_TIMEOUT_MS);
    assertThat(group.replica(id).role()).isEqualTo(ReplicaRole.PRE_CANDIDATE);
  }

  @Test
  void lowerIdWinsSimultaneousCampaigns() {
    List<Integer> others = isolateLeader();
    others.forEach(this::campaign);
    group.runFor(ELECTION_MS);
    assertThat(group.leader()).contains(group.replica(others.get(0)));
  }

  @Test
  void loneCandidateWinsRegardlessOfId() {
    List<Integer> others = isolateLeader();
    campaign(others.get(1));
    group.runFor(ELECTION_MS);
    assertThat(group.leader()).contains(group.replica(others.get(1)));
  }

  @Test
  void failedCandidateCampaignsAgain() {
    List<Integer> others = isolateLeader();
    campaign(others.get(1));
    group.runFor(InMemoryGroup.STEP_MS);
    group.isolate(others.get(0));
    group.runFor(2 * MAX_ELECTION_TIMEOUT_MS);
    assertThat(group.leader()).isEmpty();
    group.reconnect(others.get(0));
    group.runFor(3 * MAX_ELECTION_TIMEOUT_MS);
    assertThat(group.leader()).isPresent();
  }
}
