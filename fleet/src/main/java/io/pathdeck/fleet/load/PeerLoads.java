package io.pathdeck.fleet.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The in-flight calls of this process's peers from their latest datagrams; confined to one thread.
 *
 * <p>Counts of a crashed, disconnected or suspended peer expire with its last datagram, since its
 * calls may have ended and free engines would be avoided.
 */
final class PeerLoads {
  /** A peer that sent within this time has callers now and is sent every change. */
  static final long ACTIVE_MS = 3_000;

  /** The latest datagram of a peer. */
  private static final class Received {
    final LoadDatagram datagram;
    final long receivedMs;
    boolean counted = true;

    Received(LoadDatagram datagram, long receivedMs) {
      this.datagram = datagram;
      this.receivedMs = receivedMs;
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

  /** Sets the accepted senders, which also bounds the memory used. */
  void setKnownPeers(Set<Long> senders) {
    knownPeers = Set.copyOf(senders);
    newest.entrySet().stream()
        .filter(entry -> !knownPeers.contains(entry.getKey()))
        .forEach(entry -> subtractCalls(entry.getValue()));
    newest.keySet().retainAll(knownPeers);
  }

  /**
   * Applies a datagram; returns false if its sender is not a peer or has sent a newer one. A
   * datagram of another incarnation replaces the counts, so one that arrives late after a restart
   * counts until the new incarnation's next one.
   */
  boolean accept(LoadDatagram datagram, long nowMs) {
    Received previous = newest.get(datagram.sender());
    boolean stale = previous != null && previous.supersedes(datagram);
    if (stale || !knownPeers.contains(datagram.sender())) {
      return false;
    }
    if (previous != null) {
      subtractCalls(previous);
    }
    newest.put(datagram.sender(), new Received(datagram, nowMs));
    datagram.calls().forEach((engine, count) -> totals.merge(engine, count, Integer::sum));
    return true;
  }

  /** Removes expired counts. */
  void expire(long nowMs) {
    for (Received received : newest.values()) {
      if (received.isExpired(nowMs)) {
        subtractCalls(received);
      }
    }
  }

  private void subtractCalls(Received received) {
    if (received.counted) {
      received.counted = false;
      received.datagram.calls().forEach(this::subtract);
    }
  }

  private void subtract(long engine, int count) {
    totals.computeIfPresent(engine, (hash, sum) -> sum == count ? null : sum - count);
  }

  /** Returns the peers' in-flight calls at the engine incarnation with this hash. */
  int callsAt(long engine) {
    return totals.getOrDefault(engine, 0);
  }

  /** Returns the peers that have sent recently. */
  Set<Long> activePeers(long nowMs) {
    Set<Long> active = new HashSet<>();
    newest.forEach(
        (sender, received) -> {
          if (nowMs - received.receivedMs < ACTIVE_MS) {
            active.add(sender);
          }
        });
    return active;
  }
}
