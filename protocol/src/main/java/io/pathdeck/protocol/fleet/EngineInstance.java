package io.pathdeck.protocol.fleet;

/**
 * One life of an engine, as the list of engines shows it.
 *
 * @param id the engine's name; it may start again under the same one
 * @param slots requests that it runs at once
 * @param draining it is leaving and must get nothing new
 * @param bornMs when this life began, in Unix milliseconds; {@link #BORN_UNKNOWN} when not told
 * @param coldLeftMs how much longer the engine is cold, as of the list's reading; 0 when warm
 * @param softwareVersion the version of the engine's software, not of its weights; {@link
 *     #SOFTWARE_VERSION_UNKNOWN} when not told
 */
public record EngineInstance(
    String id,
    String service,
    String address,
    String zone,
    int slots,
    boolean draining,
    long bornMs,
    long coldLeftMs,
    String softwareVersion) {
  /** The software version of engines in a list that tells none. */
  public static final String SOFTWARE_VERSION_UNKNOWN = "";

  /** The start of an engine that does not tell it: its id alone tells its lives apart. */
  public static final long BORN_UNKNOWN = 0;

  /** An engine that does not tell when its life began. */
  public EngineInstance(
      String id, String service, String address, String zone, int slots, boolean draining) {
    this(id, service, address, zone, slots, draining, BORN_UNKNOWN);
  }

  /** A warm engine. */
  public EngineInstance(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      boolean draining,
      long bornMs) {
    this(id, service, address, zone, slots, draining, bornMs, 0);
  }

  /** An engine that does not tell its software version. */
  public EngineInstance(
      String id,
      String service,
      String address,
      String zone,
      int slots,
      boolean draining,
      long bornMs,
      long coldLeftMs) {
    this(id, service, address, zone, slots, draining, bornMs, coldLeftMs, SOFTWARE_VERSION_UNKNOWN);
  }

  /** The same engine with another software version. */
  public EngineInstance withSoftwareVersion(String newVersion) {
    return new EngineInstance(
        id, service, address, zone, slots, draining, bornMs, coldLeftMs, newVersion);
  }

  /** Differs for each life of an engine as far as it can be told apart from others. */
  public String lifeId() {
    return bornMs == BORN_UNKNOWN ? id : id + '@' + bornMs;
  }

  /** Whether a life that began at {@code otherBornMs} is another one than this. */
  public boolean isOtherLife(long otherBornMs) {
    return bornMs != BORN_UNKNOWN && otherBornMs != BORN_UNKNOWN && bornMs != otherBornMs;
  }
}
