package io.pathdeck.fleet.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The calls under way of this process's peers, by their newest datagrams; confined to one thread.
 *
 * <p>A peer that died, was cut off or is suspended counts no longer than its last datagram holds:
 * its calls may have ended, and engines would be avoided that are free.
 */
final class PeerLoads {
  /** A peer that sent within this time has callers now and is told of each change. */
  static final long ACTIVE_MS = 3_000;

  /** The newest datagram of a peer. */
  private static final class Received {
    final LoadDatagram datagram;
    final long receivedMs;
    boolean counted = true;

    Received(LoadDatagram datagram, long atMs) {
      this.datagram = datagram;
      this.receivedMs = atMs;
    }

    boolean isExpired(long nowMs) {
      return nowMs - receivedMs >= datagram.ttlMs();
    }

    boolean supersedes(LoadDatagram other) {
      return datagram.incarnation() == other.incarnation()
          && datagram.sequence() >= other.sequence();
    }
  }

  private final Map<Long, Received> newest = new HashMap<>();
  private final Map<Long, Integer> totals = new HashMap<>();
  private Set<Long> knownPeers = Set.of();

  /** Only these senders count from now on, which also bounds what is kept. */
  void setKnownPeers(Set<Long> senders) {
    knownPeers = Set.copyOf(senders);
    newest.entrySet().stream()
        .filter(entry -> !knownPeers.contains(entry.getKey()))
        .forEach(entry -> subtractCalls(entry.getValue()));
    newest.keySet().retainAll(knownPeers);
  }

  /**
   * Takes a datagram; false when its sender is no peer or has sent a newer one. A datagram of
   * another life replaces what is held, so one that comes late after a restart counts until the new
   * life's next one.
   */
  boolean accept(LoadDatagram datagram, long nowMs) {
    Received held = newest.get(datagram.sender());
    boolean overtaken = held != null && held.supersedes(datagram);
    if (overtaken || !knownPeers.contains(datagram.sender())) {
      return false;
    }
    if (held != null) {
      subtractCalls(held);
    }
    newest.put(datagram.sender(), new Received(datagram, nowMs));
    datagram.calls().forEach((engine, count) -> totals.merge(engine, count, Integer::sum));
    return true;
  }

  /** Forgets the counts that no longer hold. */
  void expire(long nowMs) {
    for (Received told : newest.values()) {
      if (told.isExpired(nowMs)) {
        subtractCalls(told);
      }
    }
  }

  private void subtractCalls(Received told) {
    if (told.counted) {
      told.counted = false;
      told.datagram.calls().forEach(this::subtract);
    }
  }

  private void subtract(long engine, int count) {
    totals.computeIfPresent(engine, (hash, sum) -> sum == count ? null : sum - count);
  }

  /** The peers' calls under way at the life of an engine with this hash. */
  int callsAt(long engine) {
    return totals.getOrDefault(engine, 0);
  }

  /** The peers that have sent of late. */
  Set<Long> activePeers(long nowMs) {
    Set<Long> active = new HashSet<>();
    newest.forEach(
        (sender, told) -> {
          if (nowMs - told.receivedMs < ACTIVE_MS) {
            active.add(sender);
          }
        });
    return active;
  }
}
