package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** After a loss of power, a group that lacks a member must not wait until it loses another. */
class TestReplacementByNewLeader {
  private static final int GROUP = 1;
  private static final int MIN_SIZE = 3;
  private static final int TARGET_SIZE = 4;
  private static final int SUCCESSOR = 9;
  private static final long LEADER_SINCE_MS = 10_000;
  private static final long COLLECTED_MS = LEADER_SINCE_MS + 1_000;

  private final JobsGroupRegistry registry =
      new JobsGroupRegistry(
          new ReplacementPolicy(TARGET_SIZE, MIN_SIZE, Topology.UNKNOWN),
          new ZoneBalance(TARGET_SIZE, 0));

  @BeforeEach
  void lead() {
    registry.clear(LEADER_SINCE_MS);
  }

  private static GroupConfiguration members(int count) {
    return new GroupConfiguration(
        IntStream.rangeClosed(1, count)
            .mapToObj(id -> new Member(id, id, true, "h:" + id))
            .toList());
  }

  private static FleetProcess store(int id, int group) {
    return new FleetProcess("s" + id, FleetRole.STORE, "z", id, 1, "h:" + id, "", true, group);
  }

  private int groupOfSuccessor(int liveMembers, long nowMs) {
    FleetProcess successor = store(SUCCESSOR, FleetProcess.NO_GROUP);
    List<FleetProcess> processes =
        IntStream.rangeClosed(1, liveMembers).mapToObj(id -> store(id, GROUP)).toList();
    return registry.groupFor(
        successor,
        List.of(new JobsGroupFounders(GROUP, members(MIN_SIZE))),
        processes,
        Set.of(),
        nowMs);
  }

  @Test
  void successorJoinsAtOnceAGroupThatWouldNotSurviveAnotherLoss() {
    registry.onReport(new JobsGroupReport(GROUP, 5, members(MIN_SIZE)));
    assertThat(groupOfSuccessor(MIN_SIZE - 1, COLLECTED_MS)).isEqualTo(GROUP);
  }

  @Test
  void storeWaitsForAGroupWithoutALeaderWhoseMembersMayStillStart() {
    assertThat(groupOfSuccessor(MIN_SIZE - 1, COLLECTED_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void storeWaitsForAMemberThatTheToleratedLossesDoNotNeed() {
    registry.onReport(new JobsGroupReport(GROUP, 5, members(TARGET_SIZE)));
    assertThat(groupOfSuccessor(MIN_SIZE, COLLECTED_MS)).isEqualTo(FleetProcess.NO_GROUP);
  }

  @Test
  void wipedMemberIsToldItsGroupAsSoonAsTheLeaderOfTheGroupHasReported() {
    registry.onReport(new JobsGroupReport(GROUP, 5, members(SUCCESSOR)));
    assertThat(groupOfSuccessor(MIN_SIZE, LEADER_SINCE_MS)).isEqualTo(GROUP);
  }

  @Test
  void storeThatMovedToAnotherGroupIsNotSentBackToItsFirstOne() {
    registry.onReport(new JobsGroupReport(GROUP + 1, 5, members(MIN_SIZE)));
    FleetProcess moved = store(1, FleetProcess.NO_GROUP);
    List<JobsGroupFounders> founded =
        List.of(
            new JobsGroupFounders(GROUP, members(MIN_SIZE)),
            new JobsGroupFounders(GROUP + 1, members(MIN_SIZE)));
    assertThat(registry.groupFor(moved, founded, List.of(), Set.of(), COLLECTED_MS))
        .isEqualTo(GROUP + 1);
  }

  @Test
  void founderIsToldItsGroupOnlyAfterTheReportsAreCollected() {
    FleetProcess founder = store(1, FleetProcess.NO_GROUP);
    List<JobsGroupFounders> founded = List.of(new JobsGroupFounders(GROUP, members(MIN_SIZE)));
    assertThat(registry.groupFor(founder, founded, List.of(), Set.of(), COLLECTED_MS - 1))
        .isEqualTo(FleetProcess.NO_GROUP);
    assertThat(registry.groupFor(founder, founded, List.of(), Set.of(), COLLECTED_MS))
        .isEqualTo(GROUP);
  }
}
