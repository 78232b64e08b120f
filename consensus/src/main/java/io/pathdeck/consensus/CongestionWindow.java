package io.pathdeck.consensus;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * How many messages with entries may be on their way to one member.
 *
 * <p>The window grows by a little with each acknowledgement and halves with each loss, so that the
 * leader sends no faster than the link and the member take it. Only what is acknowledged leaves the
 * window: an acknowledgement of earlier entries makes no room for later ones.
 */
final class CongestionWindow {
  /**
   * What an acknowledgement adds to a window of one message: it doubles after some 15 of them.
   * Tuned on the links of TestReplicationUnderLoad, not on machines.
   */
  private static final double INCREASE = 0.1;

  private static final double MIN_SIZE = 1;

  private final int maxSize;

  /** The last index of each message that is not acknowledged, oldest first. */
  private final Queue<Long> inFlight = new ArrayDeque<>();

  private double size = MIN_SIZE;

  /**
   * An empty window.
   *
   * @param maxSize the most messages on their way, however well it goes
   */
  CongestionWindow(int maxSize) {
    this.maxSize = maxSize;
  }

  boolean hasRoom() {
    return inFlight.size() < (int) size;
  }

  void onSent(long lastIndex) {
    inFlight.add(lastIndex);
  }

  void onAcknowledged(long matchIndex) {
    inFlight.removeIf(last -> last <= matchIndex);
    size = Math.min(maxSize, size + INCREASE / size);
  }

  /** The leader sends again, and nothing sent before counts as on its way. */
  void onLoss() {
    inFlight.clear();
    size = Math.max(MIN_SIZE, size / 2);
  }
}
