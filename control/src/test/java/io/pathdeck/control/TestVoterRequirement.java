package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A new group must not acknowledge what the tolerated losses could still take from it. */
class TestVoterRequirement {
  private static final long START_MS = 1_000;

  private final VoterRequirement requirement = new VoterRequirement(5, false, START_MS);

  private static GroupConfiguration voters(int count) {
    return new GroupConfiguration(
        IntStream.rangeClosed(1, count).mapToObj(id -> new Member(id, id, true)).toList());
  }

  @Test
  void foundersAloneDoNotAcknowledge() {
    requirement.onConfiguration(voters(3));
    assertThat(requirement.holdsAcknowledgements(START_MS + 500)).isTrue();
  }

  @Test
  void enoughVotersAcknowledge() {
    requirement.onConfiguration(voters(5));
    assertThat(requirement.holdsAcknowledgements(START_MS + 500)).isFalse();
  }

  @Test
  void groupThatLostVotersGoesOnAcknowledging() {
    requirement.onConfiguration(voters(5));
    requirement.onConfiguration(voters(4));
    assertThat(requirement.holdsAcknowledgements(START_MS + 500)).isFalse();
  }

  @Test
  void smallerFleetAcknowledgesAfterBound() {
    requirement.onConfiguration(voters(3));
    assertThat(requirement.holdsAcknowledgements(START_MS + VoterRequirement.MAX_HOLD_MS))
        .isFalse();
  }

  @Test
  void lackOfVotersIsReportedAfterFormation() {
    requirement.onConfiguration(voters(3));
    assertThat(requirement.lacksVoters(START_MS + 500)).isFalse();
    assertThat(requirement.lacksVoters(START_MS + VoterRequirement.MAX_HOLD_MS)).isTrue();
  }

  @Test
  void configuredMembersAreAlwaysEnough() {
    VoterRequirement none = VoterRequirement.none();
    none.onConfiguration(voters(1));
    assertThat(none.holdsAcknowledgements(START_MS)).isFalse();
    assertThat(none.lacksVoters(START_MS)).isFalse();
  }
}
