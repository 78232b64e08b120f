package io.pathdeck.fleet.store;

/** How soon an item must run; the order is the one in which waiting items start. */
enum ItemUrgency {
  /** Can be done when it is due, but not if it waits any longer. */
  URGENT,
  /** Can wait and still be done when it is due. */
  DEFERRABLE,
  /**
   * Cannot be done when it is due any more. Its result is still wanted, but nobody gains when items
   * that can be in time, or online requests, wait for it.
   */
  LATE;

  /** With less than this to spare an item is urgent: a few stops and the way to other engines. */
  private static final long URGENT_SLACK_MS = 4_000;

  /**
   * The urgency of an item.
   *
   * @param slackMs for how long the item can wait and still be done when it is due
   */
  static ItemUrgency of(long slackMs) {
    if (slackMs < 0) {
      return LATE;
    }
    return slackMs < URGENT_SLACK_MS ? URGENT : DEFERRABLE;
  }
}
