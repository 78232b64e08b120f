package io.pathdeck.consensus;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Limits the number of messages with entries in flight to one member.
 *
 * <p>The window grows additively with acknowledgements and halves on a loss, so that the leader
 * adapts to the rate of the link and the member. A message leaves the window only when its own
 * entries are acknowledged, not by an acknowledgement of earlier ones.
 */
final class CongestionWindow {
  /**
   * How much an acknowledgement adds to a window of size 1; larger windows grow in inverse
   * proportion to their size. A window of one message doubles after about 15 acknowledgements.
   */
  private static final double INCREASE = 0.1;

  private static final double MIN_SIZE = 1;

  private final int maxSize;

  /** The last entry index of each unacknowledged message, oldest first. */
  private final Queue<Long> inFlight = new ArrayDeque<>();

  private double size = MIN_SIZE;

  /**
   * Creates an empty window.
   *
   * @param maxSize the maximum number of messages in flight
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

  /** Halves the window and no longer counts the messages in flight, which will be sent again. */
  void onLoss() {
    inFlight.clear();
    size = Math.max(MIN_SIZE, size / 2);
  }
}
