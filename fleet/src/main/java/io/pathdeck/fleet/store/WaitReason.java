package io.pathdeck.fleet.store;

/** Why an item without a result is at no engine. */
enum WaitReason {
  /** The scheduler has not examined the item yet. */
  NOT_EXAMINED,
  /** A short delay after the last attempt is not over. */
  RETRY_DELAY,
  /** Engines crashed under the item one after the other, and the delay after that is not over. */
  CRASH_BACKOFF,
  /** A part of the item's prompt is in quarantine. */
  QUARANTINED,
  /** The group has not committed yet that the item's events are discarded. */
  DISCARDING,
  /** The group has not committed the item's result yet. */
  NOT_LISTED,
  /** The coordinators have not confirmed the list of engines recently. */
  ENGINE_LIST_NOT_RECENT,
  /** No route of the present configuration matches the item. */
  NO_ROUTE,
  /** The service has no engine that may run the item. */
  NO_ENGINE,
  /** Each engine that may run the item has failed or refused calls recently. */
  ENGINES_EJECTED,
  /** The engines that may run the item have no free slot for items. */
  NO_FREE_SLOT,
  /** The item would be late on the engines with a free slot. */
  ENGINES_TOO_SLOW,
  /** An item that starts earlier found no engine, so this one was not examined. */
  BEHIND_OTHERS
}
