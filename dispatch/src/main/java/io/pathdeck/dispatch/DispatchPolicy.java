package io.pathdeck.dispatch;

/**
 * Constants of the dispatch decisions.
 *
 * @param maxItemsWithOnline how many batch items may run on an engine that has online work
 * @param onlineIdleMs how long an engine must be without online work before items start there
 * @param windowStep by how many items a window opens in {@code windowStepMs} on an idle engine
 * @param loadExpiryMs how long a load report counts
 * @param probeIntervalMs how often an engine that reports nothing is asked for its load
 * @param backlogIntervalMs how often the partitions are asked for their waiting work
 * @param lookahead items leased beyond what the windows can take at once
 * @param maxItemAttempts attempts after which an item gets an error as its result
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
  /** The policy of production. */
  public static final DispatchPolicy DEFAULT =
      new DispatchPolicy(12, 300, 4, 50, 3_000, 100, 200, 8, 20, 256);
}
