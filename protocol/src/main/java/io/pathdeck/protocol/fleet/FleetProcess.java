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
    int jobsGroup) {
  /** The process keeps no batch jobs. */
  public static final int NO_GROUP = 0;
}
