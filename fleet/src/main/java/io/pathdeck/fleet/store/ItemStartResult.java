package io.pathdeck.fleet.store;

/** What became of an item that was to start. */
enum ItemStartResult {
  STARTED,
  /** The engines with room are too slow for the item; others may start there. */
  NO_ENGINE_FAST_ENOUGH,
  NO_FREE_SLOT
}
