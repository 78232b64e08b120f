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
  private static final class Told {
    final LoadDatagram datagram;
    final long atMs;
    boolean counted = true;

    Told(LoadDatagram datagram, long atMs) {
      this.datagram = datagram;
      this.atMs = atMs;
    }

    boolean isOver(long nowMs) {
      return nowMs - atMs >= datagram.holdMs();
    }

    boolean overtakes(LoadDatagram other) {
      return datagram.life() == other.life() && datagram.sequence() >= other.sequence();
    }
  }

  private final Map<Long, Told> newest = new HashMap<>();
  private final Map<Long, Integer> sums = new HashMap<>();
  private Set<Long> known = Set.of();

  /** Only these senders count from now on, which also bounds what is kept. */
  void setKnown(Set<Long> senders) {
    known = Set.copyOf(senders);
    newest.entrySet().stream()
        .filter(entry -> !known.contains(entry.getKey()))
        .forEach(entry -> uncount(entry.getValue()));
    newest.keySet().retainAll(known);
  }

  /**
   * Takes a datagram; false when its sender is no peer or has sent a newer one. A datagram of
   * another life replaces what is held, so one that comes late after a restart counts until the new
   * life's next one.
   */
  boolean accept(LoadDatagram datagram, long nowMs) {
    Told held = newest.get(datagram.sender());
    boolean overtaken = held != null && held.overtakes(datagram);
    if (overtaken || !known.contains(datagram.sender())) {
      return false;
    }
    if (held != null) {
      uncount(held);
    }
    newest.put(datagram.sender(), new Told(datagram, nowMs));
    datagram.calls().forEach((engine, count) -> sums.merge(engine, count, Integer::sum));
    return true;
  }

  /** Forgets the counts that no longer hold. */
  void expire(long nowMs) {
    for (Told told : newest.values()) {
      if (told.isOver(nowMs)) {
        uncount(told);
      }
    }
  }

  private void uncount(Told told) {
    if (told.counted) {
      told.counted = false;
      told.datagram.calls().forEach(this::subtract);
    }
  }

  private void subtract(long engine, int count) {
    sums.computeIfPresent(engine, (hash, sum) -> sum == count ? null : sum - count);
  }

  /** The peers' calls under way at the life of an engine with this hash. */
  int callsAt(long engine) {
    return sums.getOrDefault(engine, 0);
  }

  /** The peers that have sent of late. */
  Set<Long> active(long nowMs) {
    Set<Long> active = new HashSet<>();
    newest.forEach(
        (sender, told) -> {
          if (nowMs - told.atMs < ACTIVE_MS) {
            active.add(sender);
          }
        });
    return active;
  }
}
