package io.pathdeck.fleet.store;

/**
 * The outcome of an attempt to run an item on an engine.
 *
 * @param kind how the attempt ended
 * @param events the events not drained before
 * @param retryAfterMs delay before the engine may be called again
 * @param reason explanation for the log
 */
record ItemOutcome(Kind kind, ItemEvents events, long retryAfterMs, String reason) {

  enum Kind {
    /** The response is complete. */
    DONE,
    /** The engine did not run the item. */
    REFUSED,
    /** The address now belongs to another engine instance. */
    OTHER_INSTANCE,
    /** The engine cannot run this item, but others. */
    UNSUITABLE,
    /** The engine ran the item and failed. */
    FAILED,
    /** The engine wrote more than the text of an item may have. */
    TOO_LONG,
    /** The store had no memory left for what the engine wrote. */
    EVICTED,
    /** The response shows neither a failed attempt nor that the item did not run. */
    UNCLEAR,
    /** The item can never succeed. */
    IMPOSSIBLE,
    /** The item is quarantined because engines exit while they run it; it was not sent. */
    QUARANTINED,
    /** The stream ended before the response was complete. */
    BROKEN,
    /** The attempt was canceled to free a slot for online requests, or to move the item. */
    YIELDED
  }
}
