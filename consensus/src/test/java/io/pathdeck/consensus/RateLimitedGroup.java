package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;

/** Replicas with a constant sync time, connected by a {@link RateLimitedNetwork}. */
final class RateLimitedGroup {
  private static final int GROUP = 1;
  private static final long STEP_MS = 1;
  private static final long SYNC_MS = 5;

  private record PendingSync(long doneAtMs, LogEntry last, List<RaftMessage> messages) {}

  /** One replica, its pending syncs and whether it led in the last step. */
  private static final class Node {
    final RaftReplica replica;
    final Queue<PendingSync> syncs = new ArrayDeque<>();
    boolean wasLeader;

    Node(RaftReplica replica) {
      this.replica = replica;
    }
  }

  private final RateLimitedNetwork network;
  private final Map<Integer, Node> nodes = new TreeMap<>();
  private long nowMs = 1_000;
  private long proposedBytes;
  private int electionCount;

  /** Starts {@code size} voters, numbered from 1, with election timers seeded by {@code seed}. */
  RateLimitedGroup(int size, RateLimitedNetwork network, RaftSettings settings, long seed) {
    this.network = network;
    List<Member> members = new ArrayList<>();
    for (int id = 1; id <= size; id++) {
      members.add(new Member(id, id, true));
    }
    RecoveredState recovered =
        new RecoveredState(
            0,
            RecoveredState.NO_REPLICA,
            Optional.of(new GroupConfiguration(members)),
            Optional.empty(),
            List.of());
    for (Member member : members) {
      RaftReplica replica =
          new RaftReplica(
              GROUP,
              member.id(),
              member.incarnation(),
              JoinSettings.fixed(Set.of()),
              settings,
              recovered,
              seed * 31 + member.id(),
              nowMs,
              nowMs);
      nodes.put(member.id(), new Node(replica));
    }
  }

  void runFor(long durationMs) {
    long endMs = nowMs + durationMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      nodes.values().forEach(this::step);
      for (RaftMessage message : network.takeArrived(nowMs)) {
        Node node = nodes.get(message.header().to());
        node.replica.receive(message, nowMs);
        processReady(node);
      }
    }
  }

  /** Runs the group and proposes a command of {@code commandBytes} every {@code intervalMs}. */
  void runUnderLoad(long durationMs, int commandBytes, long intervalMs) {
    byte[] command = new byte[commandBytes];
    for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
      propose(command);
      runFor(intervalMs);
    }
  }

  private void step(Node node) {
    while (!node.syncs.isEmpty() && node.syncs.peek().doneAtMs() <= nowMs) {
      PendingSync sync = node.syncs.poll();
      sync.messages().forEach(message -> network.send(message, nowMs));
      if (sync.last() != null) {
        node.replica.onSynced(sync.last().index(), sync.last().term(), nowMs);
      }
    }
    node.replica.poll(nowMs);
    processReady(node);
  }

  private void processReady(Node node) {
    Ready ready = node.replica.takeReady();
    ready.messages().forEach(message -> network.send(message, nowMs));
    if (ready.needsSync()) {
      LogEntry last = null;
      for (LogRecord logRecord : ready.records()) {
        if (logRecord instanceof EntryRecord entry) {
          last = entry.entry();
        }
      }
      node.syncs.add(new PendingSync(nowMs + SYNC_MS, last, ready.messagesAfterSync()));
    }
    boolean leads = node.replica.role() == ReplicaRole.LEADER;
    if (leads && !node.wasLeader) {
      electionCount++;
    }
    node.wasLeader = leads;
  }

  /** Proposes a command to the leader; drops it when there is none. */
  private void propose(byte[] command) {
    boolean accepted =
        leader().map(leader -> leader.propose(command, nowMs).isPresent()).orElse(false);
    if (accepted) {
      proposedBytes += command.length;
    }
  }

  /** The leader of the newest term. */
  Optional<RaftReplica> leader() {
    return nodes.values().stream()
        .map(node -> node.replica)
        .filter(replica -> replica.role() == ReplicaRole.LEADER)
        .max(Comparator.comparingLong(RaftReplica::term));
  }

  /** The bytes of all commands that a leader accepted. */
  long proposedBytes() {
    return proposedBytes;
  }

  /** The number of times that any replica became leader. */
  int electionCount() {
    return electionCount;
  }

  /** The highest index that any replica knows to be committed. */
  long commitIndex() {
    return nodes.values().stream()
        .mapToLong(node -> node.replica.commitIndex())
        .max()
        .orElseThrow();
  }

  RaftReplica replica(int id) {
    return nodes.get(id).replica;
  }
}
