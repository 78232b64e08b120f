package io.pathdeck.serving.api;

import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.serving.NodeSettings;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.routing.RoutingCore;
import io.pathdeck.serving.routing.RoutingSettings;

/** The components of a node's public API. */
public record NodeApi(RoutingDuty routing, ApiRouter router) {

  /** Creates the API of a node. */
  public static NodeApi create(
      NodeSettings settings,
      ConfigurationFollower configuration,
      ControlPlane controllers,
      EngineClient engines,
      MeterRegistry metrics) {
    RoutingCore core =
        new RoutingCore(RoutingSettings.DEFAULT, settings.id(), settings.zone(), System.nanoTime());
    RoutingDuty routing =
        new RoutingDuty(
            core,
            engines,
            configuration.section(),
            new NodeMetrics(metrics),
            settings.engineIdleTimeoutMs(),
            System::nanoTime);
    CompletionApi completions =
        new CompletionApi(routing, controllers, settings.id(), settings.requestTimeoutMs());
    ApiRouter router =
        new ApiRouter(
            configuration, completions, new FilesApi(controllers), new BatchesApi(controllers));
    return new NodeApi(routing, router);
  }
}
