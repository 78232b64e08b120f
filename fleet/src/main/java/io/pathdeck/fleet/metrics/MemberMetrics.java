package io.pathdeck.fleet.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.PeerPool;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Serves the metrics of a process that is a member of a replicated group. */
public final class MemberMetrics {
  private MemberMetrics() {}

  /**
   * Serves the metrics, together with those that {@code processMetrics} registers, if the settings
   * contain an address; {@code resources} closes the endpoint.
   */
  public static void serve(
      FleetSettings settings,
      EventLoopGroup eventLoops,
      FleetFollower follower,
      Supplier<ControllerStatus> status,
      PeerPool pool,
      ResourceStack resources,
      Consumer<MeterRegistry> processMetrics) {
    settings
        .metricsListen()
        .ifPresent(
            address ->
                resources.push(
                    new MetricsEndpoint(
                        address,
                        eventLoops,
                        registry -> {
                          FleetMetrics.bindView(registry, follower);
                          FleetMetrics.bindEvacuations(registry, settings.topology(), follower);
                          FleetMetrics.bindGroup(registry, status);
                          FleetMetrics.bindPeers(registry, pool);
                          processMetrics.accept(registry);
                        },
                        () -> status.get().isReady())));
  }
}
