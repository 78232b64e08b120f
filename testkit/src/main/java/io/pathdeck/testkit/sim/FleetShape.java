package io.pathdeck.testkit.sim;

import io.pathdeck.dispatch.DispatchPolicy;
import io.pathdeck.testkit.engine.EngineProfile;

/**
 * The size and the policies of a simulated fleet.
 *
 * @param zones the number of zones; a node stands in each
 * @param batchEngines how many of the engines belong to the batch service only; 0 shares all
 * @param honourPriority whether engines put online sequences first
 * @param batchSlots the most batch items on one engine
 */
record FleetShape(
    int zones,
    int engines,
    int batchEngines,
    int dispatchers,
    EngineProfile profile,
    boolean honourPriority,
    DispatchPolicy dispatchPolicy,
    int batchSlots) {
  private static final EngineProfile FAST =
      new EngineProfile(8_000, 250, 40, 50, 512, 6, 64, 256, 200, 500, 5);

  /** The small fleet of the fault scenarios; its engines are small, so that they fill up. */
  static final FleetShape FAULTS =
      new FleetShape(2, 4, 0, 2, FAST, true, DispatchPolicy.DEFAULT, 4);

  /** The name of the service that runs batch items. */
  String batchService() {
    return batchEngines > 0 ? "service-batch" : SimFleet.SERVICE;
  }
}
