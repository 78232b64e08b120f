package io.pathdeck.testkit.sim;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.AttemptListener;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.engine.EngineRequest;

/** Runs requests on simulated engines. */
final class SimEngineClient implements EngineClient {
  private final SimFleet fleet;
  private final SimProcess client;

  SimEngineClient(SimFleet fleet, SimProcess client) {
    this.fleet = fleet;
    this.client = client;
  }

  @Override
  public Call start(EngineSpec spec, EngineRequest request, AttemptListener listener) {
    String target = spec.name();
    if (fleet.hasDefect(Defect.DRAINING_IGNORED)) {
      target = fleet.oracle().anyDrainingEngine().orElse(target);
    }
    SimCall call = new SimCall(fleet, client, fleet.engine(target), request, listener);
    call.open();
    return call;
  }
}
