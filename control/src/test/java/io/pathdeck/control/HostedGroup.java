package io.pathdeck.control;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.ReplicaRole;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.state.FleetStateMachine;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Three replicas of a group in one process, each with its own disk; commands are numbers. */
final class HostedGroup implements AutoCloseable {
  private static final int GROUP = 0;
  private static final Set<Integer> IDS = Set.of(1, 2, 3);
  private static final long SNAPSHOT_THRESHOLD_BYTES = 1 << 20;
  private static final long MAX_SEGMENT_BYTES = 512;
  private static final long PATIENCE_MS = 15_000;
  private static final long POLL_MS = 20;

  private final Path root;
  private final Map<Integer, PowerLossDisk> disks = new HashMap<>();
  private final Map<Integer, FleetStateMachine> states = new HashMap<>();
  private final Map<Integer, ReplicaHost> hosts = new ConcurrentHashMap<>();

  HostedGroup(Path root) {
    this.root = root;
  }

  Path folder(int id) {
    return root.resolve("replica-" + id);
  }

  PowerLossDisk disk(int id) {
    return disks.computeIfAbsent(id, PowerLossDisk::new);
  }

  /** Starts replicas as the supervisor of their processes does. */
  void start(int... ids) {
    for (int id : ids) {
      FleetStateMachine state = new FleetStateMachine();
      Result<ReplicaHost, StorageError> opened =
          FolderRecovery.open(
              folder(id),
              disk(id),
              folder ->
                  ReplicaHost.open(
                      new ReplicaHost.Options(
                          GROUP,
                          id,
                          new JoinSettings(IDS, IDS, "h:" + id, MembershipPolicy.openTolerating(1)),
                          state,
                          SNAPSHOT_THRESHOLD_BYTES,
                          MAX_SEGMENT_BYTES),
                      folder,
                      linksOf()));
      if (!opened.isOk()) {
        throw new AssertionError("replica " + id + " does not start: " + opened.error());
      }
      states.put(id, state);
      hosts.put(id, opened.value());
      opened.value().start(nowMs -> {});
    }
  }

  private PeerLinks linksOf() {
    Map<Integer, PeerLink> links = new HashMap<>();
    for (int id : IDS) {
      links.put(
          id,
          message -> {
            ReplicaHost host = hosts.get(id);
            if (host != null) {
              host.handle(message, reply -> {});
            }
          });
    }
    return PeerLinks.fixed(links);
  }

  void stop(int... ids) {
    for (int id : ids) {
      hosts.remove(id).close();
    }
  }

  /** Commits a number. */
  void commit(int number) throws Exception {
    await(() -> tryCommit(number));
  }

  private boolean tryCommit(int number) {
    for (ReplicaHost host : hosts.values()) {
      CompletableFuture<Message> answered = new CompletableFuture<>();
      SetStoreLeaving command = new SetStoreLeaving("store-" + number, number);
      host.execute(() -> host.group().propose("", 0, command, answered::complete, host.clock()));
      if (get(answered) instanceof ProposeReply) {
        return true;
      }
    }
    return false;
  }

  private static <T> T get(CompletableFuture<T> answer) {
    try {
      return answer.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException | ExecutionException | TimeoutException e) {
      throw new AssertionError(e);
    }
  }

  /** The numbers that a replica holds. */
  List<Integer> committed(int id) {
    CompletableFuture<List<Integer>> answer = new CompletableFuture<>();
    hosts
        .get(id)
        .execute(
            () -> {
              List<Integer> numbers = new ArrayList<>();
              states.get(id).leavingStores().forEach(store -> numbers.add(store.memberId()));
              answer.complete(numbers);
            });
    return get(answer);
  }

  /** Whether a replica leads within the time. */
  boolean leadsWithin(long durationMs) throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    while (System.nanoTime() < endNs) {
      if (hosts.values().stream().anyMatch(HostedGroup::leads)) {
        return true;
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  private static boolean leads(ReplicaHost host) {
    return host.status().groups().stream().anyMatch(view -> view.role() == ReplicaRole.LEADER);
  }

  /** Waits until all replicas vote in the committed configuration of the leader. */
  void awaitVoters(int... ids) throws InterruptedException {
    await(
        () ->
            hosts.values().stream()
                    .filter(HostedGroup::leads)
                    .flatMap(host -> host.status().groups().get(0).members().stream())
                    .filter(view -> view.member().voter() && isCurrent(view.member()))
                    .count()
                == ids.length);
  }

  private boolean isCurrent(Member member) {
    ReplicaHost host = hosts.get(member.id());
    return host != null && host.incarnation() == member.incarnation();
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNs) {
        throw new AssertionError("not within " + PATIENCE_MS + " ms");
      }
      Thread.sleep(POLL_MS);
    }
  }

  @Override
  public void close() {
    hosts.values().forEach(ReplicaHost::close);
    hosts.clear();
  }
}
