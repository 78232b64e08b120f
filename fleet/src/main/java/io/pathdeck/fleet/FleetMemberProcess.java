package io.pathdeck.fleet;

/** A running process of a fleet. */
public interface FleetMemberProcess extends AutoCloseable {
  /** Applies settings that may change while the process runs: the seeds. */
  void reload(FleetSettings changed);

  /** Shuts down gracefully. */
  @Override
  void close();
}
