package io.pathdeck.fleet.store;

/** Tells {@link ItemScheduler} whether to try further items of the same service. */
enum ItemStartResult {
  STARTED,
  /** The engines with a free slot are too slow for this item; other items may start there. */
  NO_ENGINE_FAST_ENOUGH,
  NO_FREE_SLOT
}
