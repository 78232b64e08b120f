package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Replicas that campaign at the same moment agree on one of them, without a second round. */
class TestSimultaneousCampaigns {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);
  private static final long LEASE_MS = RaftSettings.DEFAULT.electionTimeoutMinMs();
  private static final long LONGEST_WAIT_MS = RaftSettings.DEFAULT.electionTimeoutMaxMs();

  /** Two round trips of two steps each, and some steps more; far below an election timeout. */
  private static final long ELECTION_MS = 10 * MemoryGroup.STEP_MS;

  private final MemoryGroup group = MemoryGroup.founded(MEMBERS);

  private List<Integer> loseLeader() {
    int lost = group.leader().orElseThrow().leaderId();
    group.silence(lost);
    group.runFor(LEASE_MS);
    List<Integer> others = MEMBERS.stream().filter(id -> id != lost).sorted().toList();
    assertThat(others).allMatch(id -> group.replica(id).role() == ReplicaRole.FOLLOWER);
    return others;
  }

  private void campaign(int id) {
    group.replica(id).poll(group.nowMs() + LONGEST_WAIT_MS);
    assertThat(group.replica(id).role()).isEqualTo(ReplicaRole.PRE_CANDIDATE);
  }

  @Test
  void ofTwoThatCampaignTogetherOneGivesWay() {
    List<Integer> others = loseLeader();
    others.forEach(this::campaign);
    group.runFor(ELECTION_MS);
    assertThat(group.leader()).contains(group.replica(others.get(0)));
  }

  @Test
  void oneThatCampaignsAloneIsElectedWhateverItsId() {
    List<Integer> others = loseLeader();
    campaign(others.get(1));
    group.runFor(ELECTION_MS);
    assertThat(group.leader()).contains(group.replica(others.get(1)));
  }

  @Test
  void memberWhoseCampaignFailedCampaignsAgain() {
    List<Integer> others = loseLeader();
    campaign(others.get(1));
    group.runFor(MemoryGroup.STEP_MS);
    group.silence(others.get(0));
    group.runFor(2 * LONGEST_WAIT_MS);
    assertThat(group.leader()).isEmpty();
    group.heal(others.get(0));
    group.runFor(3 * LONGEST_WAIT_MS);
    assertThat(group.leader()).isPresent();
  }
}
