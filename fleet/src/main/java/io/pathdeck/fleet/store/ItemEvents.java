package io.pathdeck.fleet.store;

/**
 * Events that an attempt to run an item received.
 *
 * @param afterEvent the event that they follow; -1 if they are the first
 * @param lastEvent the last of them; {@code afterEvent} if there are none
 * @param text their data, one line each
 */
record ItemEvents(long afterEvent, long lastEvent, String text) {
  boolean isEmpty() {
    return lastEvent == afterEvent;
  }
}
