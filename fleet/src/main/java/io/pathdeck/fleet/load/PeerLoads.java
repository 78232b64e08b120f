package io.pathdeck.fleet.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The in-flight calls of this process's peers from their latest datagrams; confined to one thread.
 *
 * <p>The counts of a peer that has stopped sending expire, since its calls may have ended and free
 * engines would be avoided.
 */
final class PeerLoads {
  /**
   * How long after its last datagram a peer counts as active; only active peers are sent every
   * change.
   */
  static final long ACTIVE_MS = 3_000;

  /** The latest datagram of a peer. */
  private static final class ReceivedDatagram {
    final LoadDatagram datagram;
    final long receivedMs;
    boolean counted = true;

    ReceivedDatagram(LoadDatagram datagram, long receivedMs) {
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

  private final Map<Long, ReceivedDatagram> newestBySender = new HashMap<>();
  private final Map<Long, Integer> callsByEngine = new HashMap<>();
  private Set<Long> knownPeers = Set.of();

  /** Sets the accepted senders, which also bounds the memory used. */
  void setKnownPeers(Set<Long> senders) {
    knownPeers = Set.copyOf(senders);
    newestBySender.entrySet().stream()
        .filter(entry -> !knownPeers.contains(entry.getKey()))
        .forEach(entry -> subtractCalls(entry.getValue()));
    newestBySender.keySet().retainAll(knownPeers);
  }

  /**
   * Applies a datagram; returns false if its sender is not a peer or has sent a newer one. A
   * datagram of another incarnation replaces the counts, so one that arrives late after a restart
   * counts until the new incarnation's next one.
   */
  boolean accept(LoadDatagram datagram, long nowMs) {
    ReceivedDatagram previous = newestBySender.get(datagram.sender());
    boolean stale = previous != null && previous.supersedes(datagram);
    if (stale || !knownPeers.contains(datagram.sender())) {
      return false;
    }
    if (previous != null) {
      subtractCalls(previous);
    }
    newestBySender.put(datagram.sender(), new ReceivedDatagram(datagram, nowMs));
    datagram.calls().forEach((engine, count) -> callsByEngine.merge(engine, count, Integer::sum));
    return true;
  }

  /** Subtracts the counts of datagrams that have expired. */
  void expire(long nowMs) {
    for (ReceivedDatagram received : newestBySender.values()) {
      if (received.isExpired(nowMs)) {
        subtractCalls(received);
      }
    }
  }

  private void subtractCalls(ReceivedDatagram received) {
    if (received.counted) {
      received.counted = false;
      received.datagram.calls().forEach(this::subtract);
    }
  }

  private void subtract(long engineHash, int count) {
    callsByEngine.computeIfPresent(engineHash, (hash, sum) -> sum == count ? null : sum - count);
  }

  /** Returns the peers' in-flight calls at the engine incarnation with this hash. */
  int callsAt(long engineHash) {
    return callsByEngine.getOrDefault(engineHash, 0);
  }

  /** Returns the peers that have sent within {@link #ACTIVE_MS}. */
  Set<Long> activePeers(long nowMs) {
    Set<Long> active = new HashSet<>();
    newestBySender.forEach(
        (sender, received) -> {
          if (nowMs - received.receivedMs < ACTIVE_MS) {
            active.add(sender);
          }
        });
    return active;
  }
}
