package io.pathdeck.fleet.warmup;

import java.util.ArrayDeque;
import java.util.Deque;

/** The times at which this process sent requests to one engine, for the length of a window. */
final class SendWindow {
  private final Deque<Long> sentMs = new ArrayDeque<>();

  /** Records a send, and forgets those that are {@code windowMs} old. */
  void onSend(long windowMs, long nowMs) {
    while (!sentMs.isEmpty() && sentMs.peekFirst() <= nowMs - windowMs) {
      sentMs.pollFirst();
    }
    sentMs.addLast(nowMs);
  }

  /** Returns the number of sends after {@code sinceMs}. */
  int countAfter(long sinceMs) {
    int count = 0;
    for (long sent : sentMs) {
      count += sent > sinceMs ? 1 : 0;
    }
    return count;
  }
}
