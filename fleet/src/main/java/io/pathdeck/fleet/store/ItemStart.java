package io.pathdeck.fleet.store;

/** What became of an item that was to start. */
enum ItemStart {
  STARTED,
  /** The engines with room are too slow for the item; others may start there. */
  NO_ENGINE_IN_TIME,
  NO_ROOM
}
