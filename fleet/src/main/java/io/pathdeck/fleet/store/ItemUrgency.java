package io.pathdeck.fleet.store;

/** How soon an item must run; waiting items start in this order. */
enum ItemUrgency {
  /** Can be on time, or is late and can be done before it is given up, if it starts soon. */
  URGENT,
  /** Can wait and still be on time. */
  DEFERRABLE,
  /**
   * Cannot be on time any more. The item still runs, but must not delay online requests or items
   * that can be on time.
   */
  LATE;

  /** Items with less slack are urgent. Covers a few stops and moves to other engines. */
  private static final long URGENT_SLACK_MS = 4_000;

  /** Returns the urgency of an item that can wait for {@code slackMs} and still be on time. */
  static ItemUrgency of(long slackMs) {
    if (slackMs < 0) {
      return LATE;
    }
    return slackMs < URGENT_SLACK_MS ? URGENT : DEFERRABLE;
  }
}
