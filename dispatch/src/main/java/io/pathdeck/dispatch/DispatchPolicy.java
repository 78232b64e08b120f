package io.pathdeck.dispatch;

/**
 * Parameters of dispatch decisions.
 *
 * @param maxItemsWithOnline the maximum number of batch items on an engine with online requests
 * @param onlineIdleMs the time without online requests after which items may start on an engine
 * @param windowStep the growth of a window per {@code windowStepMs}, in items
 * @param loadExpiryMs the age from which a load report is ignored
 * @param probeIntervalMs the interval between load queries to an engine without recent reports
 * @param backlogIntervalMs the interval between backlog queries to partitions
 * @param lookahead the number of items leased in excess of the free slots
 * @param maxItemAttempts the number of failed attempts after which an item fails
 */
public record DispatchPolicy(
    int maxItemsWithOnline,
    long onlineIdleMs,
    int windowStep,
    long windowStepMs,
    long loadExpiryMs,
    long probeIntervalMs,
    long backlogIntervalMs,
    int lookahead,
    int maxItemAttempts,
    int maxLeasePerCall) {
  /** The production policy. */
  public static final DispatchPolicy DEFAULT =
      new DispatchPolicy(12, 300, 4, 50, 3_000, 100, 200, 8, 20, 256);
}
