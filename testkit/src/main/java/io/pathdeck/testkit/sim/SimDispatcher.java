package io.pathdeck.testkit.sim;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.TlsSettings;
import io.pathdeck.dispatch.DispatchCore;
import io.pathdeck.dispatch.DispatchDuty;
import io.pathdeck.dispatch.DispatcherSettings;
import io.pathdeck.dispatch.LoadProbe;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.serving.config.ConfigurationFollower;
import java.util.List;

/** A dispatcher: the configuration follower and the dispatch duty of production. */
final class SimDispatcher extends SimProcess {
  private static final int LEASE_MS = 3_000;
  private static final int ENGINE_IDLE_TIMEOUT_MS = 2_000;
  private static final long STOP_POLL_MS = 20;

  private final SimFleet fleet;
  private DispatchDuty duty;

  SimDispatcher(String name, SimFleet fleet) {
    super(name, fleet.simulation());
    this.fleet = fleet;
  }

  @Override
  List<Duty> boot() {
    ControllerClient client = fleet.controllerClient(this);
    ConfigurationFollower configuration =
        new ConfigurationFollower(name, "dispatcher", client, this::clockNs);
    DispatcherSettings settings =
        new DispatcherSettings(
            name,
            "zone-1",
            new HostPort("127.0.0.1", 1),
            List.of(),
            LEASE_MS,
            ENGINE_IDLE_TIMEOUT_MS,
            10_000,
            new TlsSettings(null, null, null));
    duty =
        new DispatchDuty(
            settings,
            new DispatchCore(fleet.shape().dispatchPolicy()),
            client,
            new SimEngineClient(fleet, this),
            loadProbe(),
            configuration,
            new SimpleMeterRegistry());
    return List.of(configuration, duty);
  }

  private LoadProbe loadProbe() {
    return (engine, listener) -> {
      SimEngine target = fleet.engine(engine.name());
      int engineLife = target.life();
      int ownLife = life();
      fleet
          .network()
          .sendInOrder(
              name,
              target,
              engineLife,
              () ->
                  fleet
                      .network()
                      .sendInOrder(
                          target.name, this, ownLife, () -> listener.accept(target.laggingLoad())));
    };
  }

  /** Starts a planned stop; {@code whenStopped} runs after the process has ended. */
  void stopAsPlanned(Runnable whenStopped) {
    duty.requestStop();
    awaitStop(whenStopped);
  }

  private void awaitStop(Runnable whenStopped) {
    if (!isAlive() || duty.isDrained()) {
      kill();
      whenStopped.run();
      return;
    }
    simulation.scheduleMs(STOP_POLL_MS, () -> awaitStop(whenStopped));
  }
}
