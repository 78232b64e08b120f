package io.pathdeck.fleet.store;

import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.StreamOrigin;

/**
 * Events received by an attempt to run an item.
 *
 * @param origin the engines that can write what follows
 * @param afterEvent number of the event before the first one; -1 if there is none
 * @param lastEvent number of the last event; {@code afterEvent} if none has a number
 * @param data the {@link EventData} of the events
 */
record ItemEvents(StreamOrigin origin, long afterEvent, long lastEvent, String data) {
  boolean isEmpty() {
    return lastEvent == afterEvent && data.equals(EventData.NONE);
  }
}
