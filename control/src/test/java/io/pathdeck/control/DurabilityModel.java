package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Three replicas on disks that lose what was not synced, under drawn kills, losses of power,
 * snapshots and damage of one disk at a time. What a leader committed must not differ anywhere.
 */
final class DurabilityModel {
  private static final int REPLICAS = 3;
  private static final long STEP_MS = 10;
  private static final int MAX_OPERATIONS_UNTIL_KILL = 8;

  private final SplittableRandom random;
  private final List<ModelReplica> replicas = new ArrayList<>();
  private final Map<Long, Integer> committed = new TreeMap<>();
  private final List<RaftMessage> inFlight = new ArrayList<>();
  private long nowMs = 1_000;
  private int lastNumber;
  private int damaged;

  DurabilityModel(Path root, long seed) {
    random = new SplittableRandom(seed);
    for (int id = 1; id <= REPLICAS; id++) {
      replicas.add(
          new ModelReplica(id, root.resolve("replica-" + id), new PowerLossDisk(seed * 10 + id)));
    }
  }

  /** How many entries a leader has committed. */
  int committedCount() {
    return committed.size();
  }

  /** How many folders were damaged. */
  int damagedCount() {
    return damaged;
  }

  void runWithFaults(int steps) throws IOException {
    for (int step = 0; step < steps; step++) {
      drawFault();
      if (random.nextInt(4) == 0) {
        leader().ifPresent(leader -> leader.propose(++lastNumber, nowMs));
      }
      step(2);
    }
  }

  /** Lets all replicas run without faults. */
  void settle(int steps) throws IOException {
    replicas.forEach(replica -> replica.disk().restart());
    for (int step = 0; step < steps; step++) {
      step(1);
    }
  }

  private void drawFault() throws IOException {
    ModelReplica drawn = replicas.get(random.nextInt(REPLICAS));
    switch (random.nextInt(250)) {
      case 0, 1, 2, 3 ->
          drawn.disk().killBeforeOperation(random.nextInt(1, MAX_OPERATIONS_UNTIL_KILL));
      case 4 -> drawn.losePower();
      case 5 -> {
        for (ModelReplica replica : replicas) {
          replica.losePower();
        }
      }
      case 6, 7, 8 -> drawn.takeSnapshot();
      case 9 -> damage(drawn);
      default -> {}
    }
  }

  /** Damages a segment with another behind it, unless a disk is being replaced already. */
  private void damage(ModelReplica drawn) throws IOException {
    Path[] segments = PowerLossDisk.files(drawn.path(), "log-");
    if (segments.length < 2 || !allVote()) {
      return;
    }
    Path segment = segments[random.nextInt(segments.length - 1)];
    int length = (int) segment.toFile().length();
    if (length > 0) {
      drawn.die();
      drawn.disk().damage(segment, random.nextInt(length));
      damaged++;
    }
  }

  private boolean allVote() {
    List<Member> members =
        leader()
            .flatMap(leader -> leader.replica().configurationIfCommitted())
            .map(configuration -> configuration.members())
            .orElse(List.of());
    return replicas.stream()
        .allMatch(
            replica ->
                members.stream()
                    .anyMatch(
                        member -> member.voter() && member.incarnation() == replica.incarnation()));
  }

  private void step(int dropOneIn) throws IOException {
    nowMs += STEP_MS;
    for (ModelReplica replica : replicas) {
      if (replica.isAlive()) {
        replica.poll(nowMs);
        carryOut(replica);
      } else if (random.nextInt(20) == 0) {
        replica.start(nowMs);
      }
    }
    List<RaftMessage> arriving = List.copyOf(inFlight);
    inFlight.clear();
    for (RaftMessage message : arriving) {
      ModelReplica receiver = replicas.get(message.header().to() - 1);
      boolean lost = dropOneIn > 1 && random.nextInt(dropOneIn * 20) == 0;
      if (!lost && receiver.isAlive()) {
        receiver.receive(message, nowMs);
        carryOut(receiver);
      }
    }
  }

  private void carryOut(ModelReplica replica) {
    replica.carryOut(nowMs, inFlight::add, entry -> onCommitted(replica, entry));
  }

  private void onCommitted(ModelReplica replica, LogEntry entry) {
    if (entry.command() == null) {
      return;
    }
    int number = ByteBuffer.wrap(entry.command()).getInt();
    Integer known = committed.putIfAbsent(entry.index(), number);
    assertThat(number)
        .as("entry %d at replica %d", entry.index(), replica.id())
        .isEqualTo(known == null ? number : known);
  }

  /** The leader with the newest term. */
  private Optional<ModelReplica> leader() {
    return replicas.stream()
        .filter(replica -> replica.isAlive() && replica.replica().role() == ReplicaRole.LEADER)
        .max((a, b) -> Long.compare(a.replica().term(), b.replica().term()));
  }

  void assertNothingIsMissing() {
    RaftReplica leader = leader().orElseThrow().replica();
    assertThat(leader.commitIndex())
        .isGreaterThanOrEqualTo(committed.keySet().stream().reduce(0L, Math::max));
    for (ModelReplica replica : replicas) {
      assertThat(replica.applied())
          .as("replica %d", replica.id())
          .containsExactlyElementsOf(committed.values());
    }
  }
}
