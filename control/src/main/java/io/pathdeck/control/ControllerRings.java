package io.pathdeck.control;

import io.pathdeck.common.duty.BoundedRing;

/** The rings that join the duties of a controller. */
public record ControllerRings(
    BoundedRing<ControllerEvent> events,
    BoundedRing<ControllerEvent> completions,
    BoundedRing<StorageBatch> storage,
    BoundedRing<SnapshotTask> snapshots) {
  private static final int EVENTS_CAPACITY = 16_384;
  private static final int COMPLETIONS_CAPACITY = 1_024;
  private static final int STORAGE_CAPACITY = 1_024;
  private static final int SNAPSHOTS_CAPACITY = 256;

  /** Creates empty rings. */
  public static ControllerRings create() {
    return new ControllerRings(
        new BoundedRing<>(EVENTS_CAPACITY),
        new BoundedRing<>(COMPLETIONS_CAPACITY),
        new BoundedRing<>(STORAGE_CAPACITY),
        new BoundedRing<>(SNAPSHOTS_CAPACITY));
  }
}
