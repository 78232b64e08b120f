package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;

/**
 * Replicas connected by an in-memory network, with a simulated clock and disks that sync at once.
 */
final class InMemoryGroup {
  private static final int GROUP = 1;

  /** How far each step advances the clock; a message takes one step. */
  static final long STEP_MS = 10;

  /** The time from the start of a process until its replica is recovered. */
  private static final long RECOVERY_MS = 800;

  private final MembershipPolicy policy;
  private final Map<Integer, RaftReplica> replicas = new TreeMap<>();

  /** The records that each replica has written since it started with an empty disk. */
  private final Map<Integer, List<LogRecord>> disks = new HashMap<>();

  /** The command that any replica has committed at an index. */
  private final Map<Long, byte[]> committedByIndex = new TreeMap<>();

  private final Map<Integer, Long> commitIndexes = new HashMap<>();
  private final Map<Integer, List<Byte>> committedCommands = new HashMap<>();
  private final Set<Integer> isolatedIds = new HashSet<>();

  /** Replicas that reach each other, but none of the rest. */
  private Set<Integer> cutOffIds = Set.of();

  /** The total duration of the suspensions of each replica, by which its clock is behind. */
  private final Map<Integer, Long> suspendedMs = new HashMap<>();

  private final Set<Integer> suspendedIds = new HashSet<>();
  private final Queue<RaftMessage> messagesInFlight = new ArrayDeque<>();
  private final Map<Integer, Long> delaysMs = new HashMap<>();
  private final IdentityHashMap<RaftMessage, Long> dueMs = new IdentityHashMap<>();
  private long nowMs = 1_000;

  InMemoryGroup(MembershipPolicy policy) {
    this.policy = policy;
  }

  /** A group that has elected a leader and tolerates the loss of one member. */
  static InMemoryGroup withLeader(Set<Integer> members) {
    InMemoryGroup group = new InMemoryGroup(MembershipPolicy.openTolerating(1));
    members.forEach(id -> group.start(id, id, members, members));
    group.runFor(3_000);
    return group;
  }

  void start(int id, long incarnation, Set<Integer> founders, Set<Integer> contacts) {
    disks.put(id, new ArrayList<>());
    JoinSettings settings = new JoinSettings(founders, contacts, "host:" + id, policy);
    open(id, incarnation, settings, RecoveredState.empty(), id * 31L + incarnation, nowMs);
  }

  private void open(
      int id,
      long incarnation,
      JoinSettings settings,
      RecoveredState recovered,
      long seed,
      long processStartMs) {
    RaftReplica replica =
        new RaftReplica(
            GROUP,
            id,
            incarnation,
            settings,
            RaftSettings.DEFAULT,
            recovered,
            seed,
            processStartMs,
            nowMs);
    replicas.put(id, replica);
    suspendedIds.remove(id);
    suspendedMs.remove(id);
    isolatedIds.remove(id);
    committedCommands.put(id, new ArrayList<>());
  }

  /** Ends a replica; its disk remains. */
  void stop(int id) {
    replicas.remove(id);
  }

  /** Starts a stopped replica from its disk. */
  void restart(int id, long incarnation) {
    JoinSettings settings = new JoinSettings(Set.of(), Set.of(), "host:" + id, policy);
    RecoveredState recovered = RecoveredDisk.recover(disks.get(id));
    open(id, incarnation, settings, recovered, id * 31L + nowMs, nowMs - RECOVERY_MS);
  }

  /** The commands that any replica has committed, by index. */
  Map<Long, byte[]> committedByIndex() {
    return committedByIndex;
  }

  /** The first byte of each command that a replica has committed since it started. */
  List<Byte> committedCommands(int id) {
    return committedCommands.get(id);
  }

  RaftReplica replica(int id) {
    return replicas.get(id);
  }

  void isolate(int id) {
    isolatedIds.add(id);
  }

  void reconnect(int id) {
    isolatedIds.remove(id);
  }

  /** Cuts the connections between {@code ids} and all others; an empty set heals the cut. */
  void cutOff(Set<Integer> ids) {
    cutOffIds = Set.copyOf(ids);
  }

  /** Delays all messages to and from a replica by more than the usual step. */
  void delay(int id, long delayMs) {
    delaysMs.put(id, delayMs);
  }

  /** Stops a replica and its clock; messages to it are lost. */
  void suspend(int id) {
    suspendedIds.add(id);
  }

  void resume(int id) {
    suspendedIds.remove(id);
  }

  /** The time on a replica's clock. */
  long nowMs(int id) {
    return nowMs - suspendedMs.getOrDefault(id, 0L);
  }

  void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      replicas.forEach(
          (id, replica) -> {
            if (suspendedIds.contains(id)) {
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
    int inFlight = messagesInFlight.size();
    for (int i = 0; i < inFlight; i++) {
      RaftMessage message = messagesInFlight.poll();
      if (isDelayed(message)) {
        messagesInFlight.add(message);
        continue;
      }
      int to = message.header().to();
      boolean lost =
          isolatedIds.contains(to)
              || suspendedIds.contains(to)
              || isolatedIds.contains(message.header().from())
              || cutOffIds.contains(to) != cutOffIds.contains(message.header().from());
      if (!lost && replicas.containsKey(to)) {
        replicas.get(to).receive(message, nowMs(to));
        processReady(to, replicas.get(to));
      }
    }
  }

  private boolean isDelayed(RaftMessage message) {
    int from = message.header().from();
    long delayMs = delaysMs.getOrDefault(from, delaysMs.getOrDefault(message.header().to(), 0L));
    if (delayMs == 0) {
      return false;
    }
    boolean isDue = dueMs.computeIfAbsent(message, added -> nowMs + delayMs) <= nowMs;
    if (isDue) {
      dueMs.remove(message);
    }
    return !isDue;
  }

  private void processReady(int id, RaftReplica replica) {
    Ready ready = replica.takeReady();
    messagesInFlight.addAll(ready.messages());
    long lastIndex = 0;
    long lastTerm = 0;
    disks.get(id).addAll(ready.records());
    for (LogRecord logRecord : ready.records()) {
      if (logRecord instanceof EntryRecord entry) {
        lastIndex = entry.entry().index();
        lastTerm = entry.entry().term();
      }
    }
    ready.committed().stream()
        .filter(entry -> entry.command() != null)
        .forEach(
            entry -> {
              committedCommands.get(id).add(entry.command()[0]);
              byte[] known = committedByIndex.putIfAbsent(entry.index(), entry.command());
              if (known != null && !Arrays.equals(known, entry.command())) {
                throw new AssertionError("two commands were committed at " + entry.index());
              }
            });
    messagesInFlight.addAll(ready.messagesAfterSync());
    if (lastIndex > 0) {
      replica.onSynced(lastIndex, lastTerm, nowMs(id));
    }
    commitIndexes.merge(id, replica.commitIndex(), Math::max);
  }

  Optional<RaftReplica> leader() {
    return replicas.entrySet().stream()
        .filter(
            entry ->
                !isolatedIds.contains(entry.getKey()) && !suspendedIds.contains(entry.getKey()))
        .map(Map.Entry::getValue)
        .filter(replica -> replica.role() == ReplicaRole.LEADER)
        .findFirst();
  }

  /** The ids of the voters in the leader's committed configuration. */
  Set<Integer> voters() {
    Set<Integer> voters = new HashSet<>();
    GroupConfiguration configuration =
        leader().flatMap(RaftReplica::configurationIfCommitted).orElse(null);
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
