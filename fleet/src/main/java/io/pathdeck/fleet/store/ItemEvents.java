package io.pathdeck.fleet.store;

/**
 * Events that a send of an item brought.
 *
 * @param afterEvent the event that they follow; -1 when they are the first
 * @param lastEvent the last of them; {@code afterEvent} when there is none
 * @param text their data, one line each
 */
record ItemEvents(long afterEvent, long lastEvent, String text) {
  boolean isEmpty() {
    return lastEvent == afterEvent;
  }
}
