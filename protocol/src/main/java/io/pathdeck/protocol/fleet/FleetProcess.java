package io.pathdeck.protocol.fleet;

/**
 * A process of the fleet as it describes itself.
 *
 * @param name the machine's name
 * @param memberId its id in replicated groups; 0 for a process without durable state
 * @param incarnation the number of its data folder, or of its life when it has none
 * @param peerAddress where other processes reach it; empty when nobody calls it
 * @param serviceAddress where callers reach it; empty when callers do not
 * @param ready whether it takes work
 * @param jobsGroup the group of batch jobs that a store keeps; {@link #NO_GROUP} for none
 * @param cores processor time that it may use, in cores; {@link #CORES_UNKNOWN} when not told
 */
public record FleetProcess(
    String name,
    FleetRole role,
    String zone,
    int memberId,
    long incarnation,
    String peerAddress,
    String serviceAddress,
    boolean ready,
    int jobsGroup,
    double cores) {
  /** The process keeps no batch jobs. */
  public static final int NO_GROUP = 0;

  /** The process does not tell how much processor time it has. */
  public static final double CORES_UNKNOWN = 0;

  /** A process that does not tell how much processor time it has. */
  public FleetProcess(
      String name,
      FleetRole role,
      String zone,
      int memberId,
      long incarnation,
      String peerAddress,
      String serviceAddress,
      boolean ready,
      int jobsGroup) {
    this(
        name,
        role,
        zone,
        memberId,
        incarnation,
        peerAddress,
        serviceAddress,
        ready,
        jobsGroup,
        CORES_UNKNOWN);
  }
}
