package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;

/** Replicas joined by a network in memory whose disks sync at once, on a clock of their own. */
final class InMemoryGroup {
  private static final int GROUP = 1;

  /** How far each step takes the clock; a message takes one step. */
  static final long STEP_MS = 10;

  private final MembershipPolicy policy;
  private final Map<Integer, RaftReplica> replicas = new TreeMap<>();
  private final Map<Integer, Long> committed = new HashMap<>();
  private final Set<Integer> isolated = new HashSet<>();

  /** How much less the clocks of replicas show that were suspended, and which are so now. */
  private final Map<Integer, Long> suspendedMs = new HashMap<>();

  private final Set<Integer> suspended = new HashSet<>();
  private final Queue<RaftMessage> network = new ArrayDeque<>();
  private long nowMs = 1_000;

  InMemoryGroup(MembershipPolicy policy) {
    this.policy = policy;
  }

  /** A group of three members that has elected a leader; one of them may be lost. */
  static InMemoryGroup withLeader(Set<Integer> members) {
    InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
    members.forEach(id -> group.start(id, id, members, members));
    group.runFor(3_000);
    return group;
  }

  void start(int id, long incarnation, Set<Integer> founders, Set<Integer> contacts) {
    JoinSettings settings = new JoinSettings(founders, contacts, "host:" + id, policy);
    RaftReplica replica =
        new RaftReplica(
            GROUP,
            id,
            incarnation,
            settings,
            RaftSettings.DEFAULT,
            RecoveredState.empty(),
            id * 31L + incarnation,
            nowMs,
            nowMs);
    replicas.put(id, replica);
    isolated.remove(id);
  }

  RaftReplica replica(int id) {
    return replicas.get(id);
  }

  void isolate(int id) {
    isolated.add(id);
  }

  void reconnect(int id) {
    isolated.remove(id);
  }

  /** Stops a replica and its clock; what is sent to it is lost. */
  void suspend(int id) {
    suspended.add(id);
  }

  void resume(int id) {
    suspended.remove(id);
  }

  /** What the clock of a replica shows. */
  long nowMs(int id) {
    return nowMs - suspendedMs.getOrDefault(id, 0L);
  }

  void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      replicas.forEach(
          (id, replica) -> {
            if (suspended.contains(id)) {
              suspendedMs.merge(id, STEP_MS, Long::sum);
              return;
            }
            replica.poll(nowMs(id));
            processReady(id, replica);
          });
      deliver();
    }
  }

  private void deliver() {
    int inFlight = network.size();
    for (int i = 0; i < inFlight; i++) {
      RaftMessage message = network.poll();
      int to = message.header().to();
      boolean lost =
          isolated.contains(to)
              || suspended.contains(to)
              || isolated.contains(message.header().from());
      if (!lost && replicas.containsKey(to)) {
        replicas.get(to).receive(message, nowMs(to));
        processReady(to, replicas.get(to));
      }
    }
  }

  private void processReady(int id, RaftReplica replica) {
    Ready ready = replica.takeReady();
    network.addAll(ready.messages());
    long lastIndex = 0;
    long lastTerm = 0;
    for (LogRecord written : ready.records()) {
      if (written instanceof EntryRecord entry) {
        lastIndex = entry.entry().index();
        lastTerm = entry.entry().term();
      }
    }
    network.addAll(ready.messagesAfterSync());
    if (lastIndex > 0) {
      replica.onSynced(lastIndex, lastTerm, nowMs(id));
    }
    committed.merge(id, replica.commitIndex(), Math::max);
  }

  Optional<RaftReplica> leader() {
    return replicas.entrySet().stream()
        .filter(entry -> !isolated.contains(entry.getKey()) && !suspended.contains(entry.getKey()))
        .map(Map.Entry::getValue)
        .filter(replica -> replica.role() == ReplicaRole.LEADER)
        .findFirst();
  }

  /** The ids that vote by the leader's committed configuration. */
  Set<Integer> voters() {
    Set<Integer> voters = new HashSet<>();
    GroupConfiguration configuration =
        leader().flatMap(RaftReplica::committedConfiguration).orElse(null);
    if (configuration != null) {
      configuration.members().stream()
          .filter(Member::voter)
          .forEach(member -> voters.add(member.id()));
    }
    return voters;
  }

  boolean propose(byte[] command) {
    return leader().map(leader -> leader.propose(command, nowMs).isPresent()).orElse(false);
  }

  long nowMs() {
    return nowMs;
  }
}
