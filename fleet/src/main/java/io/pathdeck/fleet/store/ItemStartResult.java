package io.pathdeck.fleet.store;

/** The result of trying to start an item. */
enum ItemStartResult {
  STARTED,
  /** The engines with a free slot are too slow for this item; others may start there. */
  NO_ENGINE_FAST_ENOUGH,
  NO_FREE_SLOT
}
