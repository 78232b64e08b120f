package io.pathdeck.protocol.fleet;

/** How requests of a route may be repeated and how they are answered. */
public enum RouteKind {
  /** May run more than once. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** Answered by a stream of events; runs at most once unless it may be resumed. */
  STREAM,
  /** Jobs of many items that run later. */
  BATCH
}
