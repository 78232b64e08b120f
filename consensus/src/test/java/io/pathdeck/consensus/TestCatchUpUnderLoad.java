package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A member that lost its disk and is slower than the others regains its vote under load. */
class TestCatchUpUnderLoad {
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3);
  private static final long INCARNATION = 77;
  private static final long MAX_CATCH_UP_MS = 2_000;

  @ParameterizedTest
  @ValueSource(longs = {0, 10, 50, 100, 150})
  void slowMemberRegainsVoteWhileEntriesNeverPause(long delayMs) {
    InMemoryGroup group = InMemoryGroup.withLeader(MEMBERS);
    int wiped = group.leader().orElseThrow().leaderId() == 1 ? 2 : 1;
    group.delay(wiped, delayMs);
    group.start(wiped, INCARNATION, Set.of(), MEMBERS);
    runWithEntries(group, MAX_CATCH_UP_MS);
    assertThat(group.leader().flatMap(RaftReplica::configuration))
        .hasValueSatisfying(members -> assertThat(members.isVoter(wiped, INCARNATION)).isTrue());
  }

  @ParameterizedTest
  @ValueSource(longs = {600, 1_000})
  void memberThatIsAnElectionTimeoutBehindStaysWithoutVote(long delayMs) {
    InMemoryGroup group = InMemoryGroup.withLeader(MEMBERS);
    int wiped = group.leader().orElseThrow().leaderId() == 1 ? 2 : 1;
    group.delay(wiped, delayMs);
    group.start(wiped, INCARNATION, Set.of(), MEMBERS);
    runWithEntries(group, 2 * MAX_CATCH_UP_MS);
    assertThat(group.leader().flatMap(RaftReplica::configuration))
        .hasValueSatisfying(members -> assertThat(members.isVoter(wiped, INCARNATION)).isFalse());
  }

  private static void runWithEntries(InMemoryGroup group, long durationMs) {
    long endMs = group.nowMs() + durationMs;
    while (group.nowMs() < endMs) {
      group.propose(new byte[] {1});
      group.runFor(InMemoryGroup.STEP_MS);
    }
  }
}
