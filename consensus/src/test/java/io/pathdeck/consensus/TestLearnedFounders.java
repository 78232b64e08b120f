package io.pathdeck.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Replicas that were killed before they saved the founders of their group form it once they are
 * told them, and never a second one.
 */
class TestLearnedFounders {
  private static final Set<Integer> FOUNDERS = Set.of(1, 2, 3);
  private static final int REPLICAS = 4;
  private static final long PROPOSAL_INTERVAL_MS = 50;

  private InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
  private final Map<Integer, Long> incarnations = new HashMap<>();
  private long nextIncarnation = 100;
  private int proposals;

  private void startEmpty(int id, Set<Integer> savedFounders) {
    incarnations.put(id, nextIncarnation++);
    group.start(id, incarnations.get(id), savedFounders, FOUNDERS);
  }

  private boolean tellFounders(int id) {
    return group.replica(id).learnFounders(FOUNDERS);
  }

  @Test
  void replicasThatWereToldTheFoundersFormTheGroup() {
    FOUNDERS.forEach(id -> startEmpty(id, Set.of()));
    group.runFor(3_000);
    assertThat(group.leader()).isEmpty();
    FOUNDERS.forEach(this::tellFounders);
    group.runFor(3_000);
    assertThat(group.voters()).isEqualTo(FOUNDERS);
  }

  @Test
  void theyWaitForEachOther() {
    startEmpty(1, Set.of());
    startEmpty(2, Set.of());
    assertThat(tellFounders(1) && tellFounders(2)).isTrue();
    group.runFor(20_000);
    assertThat(group.leader()).isEmpty();
  }

  @Test
  void replicaThatIsNoFounderFormsNothing() {
    startEmpty(4, Set.of());
    assertThat(tellFounders(4)).isFalse();
  }

  @Test
  void replicaWhoseStateWasGivenUpFormsNothing() {
    JoinSettings settings =
        new JoinSettings(Set.of(), FOUNDERS, "host:1", MembershipPolicy.openTolerating(1));
    JoinProtocol joining = new JoinProtocol(null, settings.joiningOnly(), Optional.empty());
    assertThat(joining.learnFounders(FOUNDERS)).isFalse();
  }

  @Test
  void wipedReplicasFormNoSecondGroupBesideOneThatHasTheState() {
    FOUNDERS.forEach(id -> startEmpty(id, FOUNDERS));
    group.runFor(3_000);
    assertThat(group.propose(new byte[] {7})).isTrue();
    group.runFor(500);
    startEmpty(1, Set.of());
    startEmpty(2, Set.of());
    assertThat(tellFounders(1) && tellFounders(2)).isTrue();
    group.runFor(20_000);
    assertThat(group.leader()).isEmpty();
  }

  /**
   * Guards against a replica that lost its disk and is cut off from the group for long: it hears of
   * the others only while they have lost theirs, one after the other.
   */
  @Test
  void replicasThatLostTheirDisksOneAfterTheOtherFormNoSecondGroup() {
    FOUNDERS.forEach(id -> startEmpty(id, FOUNDERS));
    startEmpty(4, Set.of());
    startEmpty(5, Set.of());
    group.runFor(6_000);
    assertThat(group.voters()).hasSize(5);
    group.cutOff(Set.of(1, 2));
    startEmpty(1, Set.of());
    startEmpty(2, Set.of());
    group.runFor(500);
    group.cutOff(Set.of(1));
    group.runFor(6_000);
    group.cutOff(Set.of(1, 3));
    startEmpty(3, Set.of());
    assertThat(tellFounders(1) && tellFounders(3)).isTrue();
    group.runFor(6_000);
    assertThat(group.replica(1).role()).isEqualTo(ReplicaRole.JOINING);
    assertThat(group.replica(3).role()).isEqualTo(ReplicaRole.JOINING);
  }

  /** What may happen to a replica at any moment. */
  enum Kind {
    KILL,
    RETURN,
    LOSE_DISK,
    ISOLATE,
    RECONNECT,
    CUT_OFF_THIS_AND_NEXT,
    HEAL
  }

  record Action(Kind kind, int id, int thenRunMs) {}

  @Provide
  Arbitrary<List<Action>> actions() {
    Arbitrary<Kind> kind =
        Arbitraries.frequency(
            Tuple.of(1, Kind.KILL),
            Tuple.of(2, Kind.RETURN),
            Tuple.of(4, Kind.LOSE_DISK),
            Tuple.of(2, Kind.ISOLATE),
            Tuple.of(1, Kind.RECONNECT),
            Tuple.of(1, Kind.CUT_OFF_THIS_AND_NEXT),
            Tuple.of(1, Kind.HEAL));
    Arbitrary<Integer> id = Arbitraries.integers().between(1, REPLICAS);
    Arbitrary<Integer> thenRunMs = Arbitraries.of(0, 100, 300, 1_000, 3_000);
    Arbitrary<Action> action = Combinators.combine(kind, id, thenRunMs).as(Action::new);
    return action.list().ofMaxSize(40);
  }

  /**
   * Every replica is told the founders all the time, and disks are lost in any number while one
   * founder has a disk with all that was committed: no two commands are ever committed at one
   * index.
   */
  @Property(tries = 600)
  void neverTwoGroups(
      @ForAll("actions") List<Action> actions,
      @ForAll Set<@IntRange(min = 1, max = 3) Integer> saving) {
    group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
    incarnations.clear();
    for (int id : FOUNDERS) {
      startEmpty(id, saving.contains(id) ? FOUNDERS : Set.of());
    }
    for (Action action : actions) {
      apply(action);
      run(action.thenRunMs());
    }
  }

  private void apply(Action action) {
    int id = action.id();
    switch (action.kind()) {
      case KILL -> group.stop(id);
      case RETURN -> returnFromDisk(id);
      case LOSE_DISK -> loseDisk(id);
      case ISOLATE -> group.isolate(id);
      case RECONNECT -> group.reconnect(id);
      case CUT_OFF_THIS_AND_NEXT -> group.cutOff(Set.of(id, id % REPLICAS + 1));
      case HEAL -> group.cutOff(Set.of());
      default -> throw new IllegalStateException("no action of kind " + action.kind());
    }
  }

  private void returnFromDisk(int id) {
    if (group.replica(id) != null) {
      return;
    }
    if (incarnations.containsKey(id)) {
      group.restart(id, incarnations.get(id));
      group.replica(id).addContacts(FOUNDERS);
    } else {
      startEmpty(id, Set.of());
    }
  }

  private void loseDisk(int id) {
    boolean another = FOUNDERS.stream().anyMatch(other -> other != id && hasAllCommitted(other));
    if (another || !FOUNDERS.contains(id)) {
      startEmpty(id, Set.of());
    }
  }

  private boolean hasAllCommitted(int id) {
    RaftReplica replica = group.replica(id);
    long committed =
        group.committedByIndex().keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    return replica != null && committed > 0 && replica.lastIndex() >= committed;
  }

  private void run(long durationMs) {
    for (long ms = 0; ms < durationMs; ms += PROPOSAL_INTERVAL_MS) {
      for (int id = 1; id <= REPLICAS; id++) {
        RaftReplica replica = group.replica(id);
        if (replica != null) {
          replica.learnFounders(FOUNDERS);
          byte[] command = ByteBuffer.allocate(Integer.BYTES).putInt(++proposals).array();
          replica.propose(command, group.nowMs(id));
        }
      }
      group.runFor(PROPOSAL_INTERVAL_MS);
    }
  }
}
