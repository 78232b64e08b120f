package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * A group that three founders form and that grows to two members in each of three zones. It must
 * survive any two lost disks, or the loss of a zone.
 */
class TestToleratedLosses {
  private static final Set<Integer> FOUNDERS = Set.of(1, 2, 3);
  private static final Set<Integer> MEMBERS = Set.of(1, 2, 3, 4, 5, 6);
  private static final int ZONES = 3;
  private static final byte BEFORE = 1;
  private static final byte AFTER = 2;
  private static final byte LOST = 3;
  private static final long FORMATION_MS = 6_000;
  private static final long RECOVERY_MS = 6_000;

  private static InMemoryGroup groupOfSix() {
    InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(2));
    for (int id : MEMBERS) {
      group.start(id, id, FOUNDERS.contains(id) ? FOUNDERS : Set.of(), MEMBERS);
    }
    group.runFor(FORMATION_MS);
    assertThat(group.voters()).isEqualTo(MEMBERS);
    return group;
  }

  /** Proposes a command and advances the clock just until the leader may acknowledge it. */
  private static void commit(InMemoryGroup group, byte command) {
    int leaderId = group.leader().orElseThrow().leaderId();
    assertThat(group.propose(new byte[] {command})).isTrue();
    while (!group.committedCommands(leaderId).contains(command)) {
      group.runFor(InMemoryGroup.STEP_MS);
    }
  }

  private static void wipe(InMemoryGroup group, int id) {
    group.start(id, 100 + id, Set.of(), MEMBERS);
  }

  @TestFactory
  Stream<DynamicTest> anyTwoDisksMayBeLostAfterAcknowledgement() {
    return IntStream.rangeClosed(1, MEMBERS.size())
        .boxed()
        .flatMap(
            first ->
                IntStream.rangeClosed(first + 1, MEMBERS.size())
                    .mapToObj(
                        second ->
                            DynamicTest.dynamicTest(
                                "disks " + first + " and " + second,
                                () -> losesTwoDisks(first, second))));
  }

  private static void losesTwoDisks(int first, int second) {
    InMemoryGroup group = groupOfSix();
    commit(group, BEFORE);
    wipe(group, first);
    wipe(group, second);
    group.runFor(RECOVERY_MS);
    assertThat(group.voters()).isEqualTo(MEMBERS);
    commit(group, AFTER);
    group.runFor(1_000);
    assertThat(MEMBERS)
        .allSatisfy(
            id -> assertThat(group.committedCommands(id)).isEqualTo(List.of(BEFORE, AFTER)));
  }

  @TestFactory
  Stream<DynamicTest> anyZoneMayBeLost() {
    return IntStream.rangeClosed(1, ZONES)
        .mapToObj(zone -> DynamicTest.dynamicTest("zone " + zone, () -> losesZone(zone)));
  }

  private static void losesZone(int zone) {
    InMemoryGroup group = groupOfSix();
    commit(group, BEFORE);
    group.isolate(zone);
    group.isolate(zone + ZONES);
    group.runFor(RECOVERY_MS);
    commit(group, AFTER);
    group.reconnect(zone);
    group.reconnect(zone + ZONES);
    group.runFor(RECOVERY_MS);
    assertThat(group.voters()).isEqualTo(MEMBERS);
    assertThat(MEMBERS)
        .allSatisfy(
            id -> assertThat(group.committedCommands(id)).isEqualTo(List.of(BEFORE, AFTER)));
  }

  /** Callers still reach the zone's leader, which must acknowledge nothing and answer no read. */
  @Test
  void leaderInCutOffZoneAcknowledgesNothing() {
    InMemoryGroup group = groupOfSix();
    commit(group, BEFORE);
    int leaderId = group.leader().orElseThrow().leaderId();
    int neighborId = leaderId > ZONES ? leaderId - ZONES : leaderId + ZONES;
    group.cutOff(Set.of(leaderId, neighborId));
    assertThat(group.replica(leaderId).propose(new byte[] {LOST}, group.nowMs())).isPresent();
    group.runFor(RECOVERY_MS);
    assertThat(group.committedCommands(leaderId)).isEqualTo(List.of(BEFORE));
    assertThat(group.replica(leaderId).readIndex(group.nowMs())).isEmpty();
    commit(group, AFTER);
    group.cutOff(Set.of());
    group.runFor(RECOVERY_MS);
    assertThat(group.voters()).isEqualTo(MEMBERS);
    assertThat(MEMBERS)
        .allSatisfy(
            id -> assertThat(group.committedCommands(id)).isEqualTo(List.of(BEFORE, AFTER)));
  }

  @Test
  void silentMembersAreRemovedOnlyWhileTwoMoreLossesAreTolerated() {
    InMemoryGroup group = groupOfSix();
    group.isolate(1);
    group.isolate(4);
    group.runFor(20_000);
    assertThat(group.voters()).hasSize(5);
  }
}
