package io.pathdeck.fleet;

/** A running process of a fleet. */
public interface FleetMemberProcess extends AutoCloseable {
  /** Applies the only setting that may change while the process runs, the seeds. */
  void reload(FleetSettings newSettings);

  /** Shuts down gracefully. */
  @Override
  void close();
}
