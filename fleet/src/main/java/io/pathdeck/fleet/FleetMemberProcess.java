package io.pathdeck.fleet;

/** A running process of a fleet. */
public interface FleetMemberProcess extends AutoCloseable {
  /** Takes over what may change while the process runs: the seeds. */
  void reload(FleetSettings changed);

  /** Stops as planned. */
  @Override
  void close();
}
