package io.pathdeck.fleet.store;

/**
 * Events received by an attempt to run an item.
 *
 * @param afterEvent number of the event before the first one; -1 if there is none
 * @param lastEvent number of the last event; {@code afterEvent} if there are no events
 * @param text data of the events, one line each
 */
record ItemEvents(long afterEvent, long lastEvent, String text) {
  boolean isEmpty() {
    return lastEvent == afterEvent;
  }
}
