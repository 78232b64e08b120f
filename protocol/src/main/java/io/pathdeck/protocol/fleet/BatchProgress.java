package io.pathdeck.protocol.fleet;

/**
 * Events that a run of an item brought.
 *
 * @param origin the engines that can write what follows
 * @param afterEvent the event that they follow; -1 when they are the first
 * @param lastEvent the last of them
 * @param data their {@link EventData}
 * @param mayLackData whether empty values may be missing in {@code data}, as in the forms of
 *     earlier releases
 */
public record BatchProgress(
    String jobId,
    String itemId,
    StreamOrigin origin,
    long afterEvent,
    long lastEvent,
    String data,
    boolean mayLackData) {
  /** The number before that of the first event. */
  public static final long NO_EVENT = -1;
}
