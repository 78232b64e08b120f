package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A jobs group of stores that tolerates one loss, under drawn faults, with a stand-in for the
 * coordinators that tell a store its group. A further fault comes only when the machines of the
 * last one have been back for {@link #CATCH_UP_MS}.
 */
final class MembershipModel {
  /** How long after its return a machine counts as lost. */
  static final long CATCH_UP_MS = 4_800;

  private static final int TARGET_SIZE = 4;
  private static final int MIN_SIZE = 3;
  private static final long PROPOSAL_INTERVAL_MS = 50;
  private static final long COLLECTION_MS = 1_000;
  private static final long REPLACEMENT_DELAY_MS = 4_000;
  private static final long HEARTBEAT_MS = 300;
  private static final long SETTLE_MS = 12_000;
  private static final long TRANSFER_MS = 1_000;

  /** A machine; it is down while {@code upSinceMs} is in the future. */
  private static final class Store {
    final int id;
    long incarnation;
    boolean hasGroup;
    boolean gone;
    boolean running;
    long nextHeartbeatMs;

    Store(int id, long incarnation) {
      this.id = id;
      this.incarnation = incarnation;
    }
  }

  private record Action(long atMs, int order, Runnable task) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      return atMs == other.atMs
          ? Integer.compare(order, other.order)
          : Long.compare(atMs, other.atMs);
    }
  }

  private final SplittableRandom random;
  private final long replacementDelayMs;
  private final InMemoryGroup group =
      new InMemoryGroup(MembershipPolicy.openTolerating((MIN_SIZE - 1) / 2));
  private final Map<Integer, Store> stores = new TreeMap<>();
  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final Set<Integer> leaving = new HashSet<>();
  private final GroupConfiguration founders;
  private final List<String> history = new ArrayList<>();
  private int nextId = MIN_SIZE + 1;
  private long nextIncarnation = 100;
  private long coreLeadsSinceMs;
  private int proposals;

  /**
   * Founds the group.
   *
   * @param replacementDelayMs how long after its election the leading coordinator assigns no new
   *     store to a group with fewer members than the tolerated losses need
   */
  MembershipModel(long seed, long replacementDelayMs) {
    this.random = new SplittableRandom(seed);
    this.replacementDelayMs = replacementDelayMs;
    List<Member> members = new ArrayList<>();
    for (int id = 1; id <= MIN_SIZE; id++) {
      members.add(new Member(id, id, true, "host:" + id));
      stores.put(id, new Store(id, id));
    }
    this.founders = new GroupConfiguration(members);
    coreLeadsSinceMs = group.nowMs() - 10_000;
    stores.values().forEach(this::run);
    runFor(4_000);
  }

  List<String> history() {
    return history;
  }

  // ---- faults; each returns the time from which its machines no longer count as lost

  /** A further machine. */
  long add() {
    Store store = newStore();
    long upMs = group.nowMs() + 100;
    note("add " + store.id);
    startAt(store, upMs);
    return upMs + CATCH_UP_MS;
  }

  /** A machine loses its disk and returns. */
  long wipe(int id) {
    long upMs = group.nowMs() + random.nextLong(500, 3_500);
    note("wipe " + id);
    wipeUntil(stores.get(id), upMs);
    return upMs + CATCH_UP_MS;
  }

  /** A machine goes for good; an empty one at another address follows. */
  long replace(int id) {
    Store successor = newStore();
    long upMs = group.nowMs() + random.nextLong(1_000, 2_000);
    note("replace " + id + " by " + successor.id);
    halt(stores.get(id));
    stores.get(id).gone = true;
    startAt(successor, upMs);
    return upMs + CATCH_UP_MS;
  }

  /** All machines and coordinators lose power; one may lose its disk as well. */
  long losePower(Optional<Integer> wiped) {
    note("power" + wiped.map(id -> " and disk of " + id).orElse(""));
    long lastUpMs = group.nowMs() + 1_000;
    for (Store store : stores.values()) {
      if (store.gone) {
        continue;
      }
      long upMs = group.nowMs() + random.nextLong(300, 1_000);
      boolean losesDisk = wiped.isPresent() && wiped.get() == store.id;
      if (losesDisk) {
        wipeUntil(store, upMs);
      } else {
        halt(store);
        startAt(store, upMs);
      }
    }
    electCoordinator(lastUpMs + startupMs());
    return lastUpMs + CATCH_UP_MS;
  }

  /** The leading coordinator is lost. */
  long loseCoordinator() {
    note("coordinator");
    electCoordinator(group.nowMs() + 600);
    return group.nowMs() + CATCH_UP_MS;
  }

  /** A machine is cut off for a while. */
  long cut(int id) {
    long endMs = group.nowMs() + random.nextLong(1_000, 7_000);
    note("cut " + id);
    group.isolate(id);
    at(endMs, () -> group.reconnect(id));
    return endMs + CATCH_UP_MS;
  }

  /** A machine is suspended for a while. */
  long suspend(int id) {
    long endMs = group.nowMs() + random.nextLong(500, 3_500);
    note("suspend " + id);
    group.suspend(id);
    at(endMs, () -> group.resume(id));
    return endMs + CATCH_UP_MS;
  }

  /** A machine is retired, and taken away later. */
  long retire(int id) {
    note("retire " + id);
    leaving.add(id);
    long goneMs = group.nowMs() + 8_000;
    at(
        goneMs,
        () -> {
          halt(stores.get(id));
          stores.get(id).gone = true;
        });
    return goneMs;
  }

  /** The leader hands leadership over. */
  long transferLeadership() {
    note("transfer");
    group.leader().ifPresent(leader -> leader.transferLeadership(group.nowMs()));
    return group.nowMs() + TRANSFER_MS;
  }

  private void note(String fault) {
    history.add(group.nowMs() + " " + fault + " of " + members());
  }

  // ---- checks

  /** Whether the group has a leader and a quorum without any one of its live voters. */
  boolean toleratesALoss() {
    Optional<GroupConfiguration> current = group.leader().flatMap(RaftReplica::configuration);
    if (current.isEmpty()) {
      return false;
    }
    long live = current.get().members().stream().filter(this::isLiveVoter).count();
    return live - 1 >= current.get().quorum();
  }

  private boolean isLiveVoter(Member member) {
    Store store = stores.get(member.id());
    return member.voter()
        && store.running
        && store.hasGroup
        && store.incarnation == member.incarnation();
  }

  /** The members as the leader knows them, for a report. */
  String members() {
    return group
        .leader()
        .flatMap(RaftReplica::configuration)
        .map(
            current ->
                current.members().stream()
                    .map(m -> m.id() + (m.voter() ? "" : "-") + (isLiveVoter(m) ? "" : "!"))
                    .toList()
                    .toString())
        .orElse("no leader");
  }

  /** Runs until a leader has everything that was ever committed, or for long enough. */
  boolean keepsEverything() {
    long endMs = group.nowMs() + SETTLE_MS;
    while (group.nowMs() < endMs) {
      runFor(100);
      boolean complete =
          group
              .leader()
              .filter(leader -> leader.readIndex(group.nowMs()).isPresent())
              .map(leader -> leader.commitIndex() >= lastCommittedIndex())
              .orElse(false);
      if (complete) {
        return true;
      }
    }
    return false;
  }

  private long lastCommittedIndex() {
    return group.committedByIndex().keySet().stream().mapToLong(i -> i).max().orElse(0);
  }

  List<Integer> runningIds() {
    return stores.values().stream()
        .filter(s -> s.running && s.hasGroup && !s.gone && !leaving.contains(s.id))
        .map(s -> s.id)
        .toList();
  }

  // ---- time

  long nowMs() {
    return group.nowMs();
  }

  void runUntil(long endMs) {
    runFor(Math.max(0, endMs - group.nowMs()));
  }

  void runFor(long durationMs) {
    long endMs = group.nowMs() + durationMs;
    while (group.nowMs() < endMs) {
      while (!actions.isEmpty() && actions.peek().atMs() <= group.nowMs()) {
        actions.poll().task().run();
      }
      stores.values().forEach(this::heartbeat);
      if (group.nowMs() % PROPOSAL_INTERVAL_MS == 0) {
        group.propose(ByteBuffer.allocate(Integer.BYTES).putInt(proposals++).array());
      }
      group.runFor(InMemoryGroup.STEP_MS);
    }
  }

  private void at(long atMs, Runnable task) {
    actions.add(new Action(atMs, actions.size(), task));
  }

  // ---- machines

  private Store newStore() {
    Store store = new Store(nextId++, nextIncarnation++);
    stores.put(store.id, store);
    return store;
  }

  private long startupMs() {
    return random.nextLong(1_000, 1_500);
  }

  private void startAt(Store store, long upMs) {
    at(upMs + startupMs(), () -> run(store));
  }

  private void run(Store store) {
    if (store.gone || store.running) {
      return;
    }
    store.running = true;
    store.nextHeartbeatMs = group.nowMs() + random.nextLong(HEARTBEAT_MS);
    if (store.hasGroup) {
      group.restart(store.id, store.incarnation);
    }
  }

  private void halt(Store store) {
    store.running = false;
    group.stop(store.id);
  }

  private void wipeUntil(Store store, long upMs) {
    halt(store);
    store.incarnation = nextIncarnation++;
    store.hasGroup = false;
    startAt(store, upMs);
  }

  // ---- coordinators

  private void electCoordinator(long fromMs) {
    coreLeadsSinceMs = fromMs + random.nextLong(300, 1_300);
  }

  /** A heartbeat of a store and the answer of the leading coordinator. */
  private void heartbeat(Store store) {
    long nowMs = group.nowMs();
    if (!store.running || nowMs < store.nextHeartbeatMs) {
      return;
    }
    store.nextHeartbeatMs = nowMs + HEARTBEAT_MS;
    if (nowMs < coreLeadsSinceMs) {
      return;
    }
    if (!store.hasGroup && isAssigned(store)) {
      store.hasGroup = true;
      group.start(store.id, store.incarnation, Set.of(), Set.of());
    }
    if (store.hasGroup) {
      RaftReplica replica = group.replica(store.id);
      replica.bootstrap(founders, group.nowMs(store.id));
      replica.addContacts(knownMemberIds());
      replica.setLeaving(leaving);
    }
  }

  private Optional<GroupConfiguration> reported() {
    return group.leader().flatMap(RaftReplica::configurationIfCommitted);
  }

  private Set<Integer> knownMemberIds() {
    Set<Integer> ids = new HashSet<>();
    founders.members().forEach(member -> ids.add(member.id()));
    reported().ifPresent(known -> known.members().forEach(member -> ids.add(member.id())));
    return ids;
  }

  private boolean isAssigned(Store store) {
    if (leaving.contains(store.id)) {
      return false;
    }
    Optional<GroupConfiguration> reported = reported();
    if (reported.isPresent() && reported.get().find(store.id).isPresent()) {
      return true;
    }
    long leadsForMs = group.nowMs() - coreLeadsSinceMs;
    if (leadsForMs < COLLECTION_MS) {
      return false;
    }
    if (reported.isEmpty() && founders.find(store.id).isPresent()) {
      return true;
    }
    int size = runningIds().size();
    boolean withoutReserve = size < MIN_SIZE && reported.isPresent();
    return size < TARGET_SIZE
        && leadsForMs >= (withoutReserve ? replacementDelayMs : REPLACEMENT_DELAY_MS);
  }
}
