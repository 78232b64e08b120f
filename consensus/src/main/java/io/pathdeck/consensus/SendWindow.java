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
final class SendWindow {
  /**
   * What an acknowledgement adds to a window of one message: it doubles after some 15 of them.
   * Tuned on the links of TestReplicationUnderLoad, not on machines.
   */
  private static final double GROWTH = 0.1;

  private static final double SMALLEST = 1;

  private final int largest;

  /** The last index of each message that is not acknowledged, oldest first. */
  private final Queue<Long> unacknowledged = new ArrayDeque<>();

  private double size = SMALLEST;

  /**
   * An empty window.
   *
   * @param largest the most messages on their way, however well it goes
   */
  SendWindow(int largest) {
    this.largest = largest;
  }

  boolean hasRoom() {
    return unacknowledged.size() < (int) size;
  }

  void onSent(long lastIndex) {
    unacknowledged.add(lastIndex);
  }

  void onAcknowledged(long matchIndex) {
    unacknowledged.removeIf(last -> last <= matchIndex);
    size = Math.min(largest, size + GROWTH / size);
  }

  /** The leader sends again, and nothing sent before counts as on its way. */
  void onLost() {
    unacknowledged.clear();
    size = Math.max(SMALLEST, size / 2);
  }
}
