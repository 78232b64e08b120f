package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.EngineInstance;

/**
 * The load that an engine reports.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots number of requests that can run at once; 0 if not reported
 * @param bornMs when the reporting engine process started; {@link EngineInstance#BORN_UNKNOWN} if
 *     not reported
 * @param pacePercent how long work currently takes, in percent of the usual duration; {@link
 *     #PACE_UNKNOWN} if not reported
 */
public record EngineLoadReport(int running, int waiting, int slots, long bornMs, int pacePercent) {
  /** The value of {@code pacePercent} if the engine does not report it. */
  public static final int PACE_UNKNOWN = 0;

  /** Creates a report without a pace. */
  public EngineLoadReport(int running, int waiting, int slots, long bornMs) {
    this(running, waiting, slots, bornMs, PACE_UNKNOWN);
  }

  /** Creates a report without a start time or a pace. */
  public EngineLoadReport(int running, int waiting, int slots) {
    this(running, waiting, slots, EngineInstance.BORN_UNKNOWN);
  }

  /** Whether the engine reports its pace; engines that share a machine with others do. */
  public boolean hasPace() {
    return pacePercent != PACE_UNKNOWN;
  }
}
