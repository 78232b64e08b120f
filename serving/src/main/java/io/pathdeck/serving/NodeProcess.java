package io.pathdeck.serving;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.pathdeck.common.duty.DutyThread;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.AdminServer;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerConnections;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.api.NodeApi;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.engine.HttpEngineClient;
import io.pathdeck.serving.http.HttpServer;
import java.util.Optional;
import javax.net.ssl.SSLException;

/** A running serving node. */
public final class NodeProcess implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(NodeProcess.class);
  private static final int NETWORK_THREADS = 4;
  private static final int MAX_CONNECTIONS_PER_ENGINE = 512;

  private final NodeSettings settings;
  private final ResourceStack resources = new ResourceStack();
  private final HttpServer server;

  private NodeProcess(NodeSettings settings, TransportTls tls) throws SSLException {
    this.settings = settings;
    EventLoopGroup eventLoops = EventLoops.create(NETWORK_THREADS);
    resources.push(eventLoops::shutdownGracefully);
    ControlPlane controllers =
        resources
            .push(new ControllerConnections(settings.controllers(), eventLoops, tls, settings.id()))
            .client();
    ConfigurationFollower configuration =
        new ConfigurationFollower(settings.id(), "node", controllers, System::nanoTime);
    HttpEngineClient engines =
        resources.push(new HttpEngineClient(eventLoops, MAX_CONNECTIONS_PER_ENGINE));
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    NodeApi api = NodeApi.create(settings, configuration, controllers, engines, metrics);
    resources.push(new DutyThread(configuration, configuration.ring()).start());
    resources.push(new DutyThread(api.routing(), api.routing().ring()).start());
    server =
        resources.push(
            new HttpServer(
                settings.listen(),
                eventLoops,
                settings.limits(),
                callerTls(settings),
                api.router()::handle));
    Gauge.builder("pathdeck_active_exchanges", server, HttpServer::activeExchanges)
        .register(metrics);
    Gauge.builder(
            "pathdeck_configuration_version",
            configuration,
            follower -> follower.section().read().version())
        .register(metrics);
    resources.push(
        new AdminServer(
            settings.adminListen(),
            eventLoops,
            metrics,
            () -> configuration.hasLease() && !server.isDraining()));
  }

  private static Optional<SslContext> callerTls(NodeSettings settings) throws SSLException {
    if (!settings.tls().isEnabled() || settings.listen().isLoopback()) {
      return Optional.empty();
    }
    return Optional.of(
        SslContextBuilder.forServer(
                settings.tls().certificate().toFile(), settings.tls().key().toFile())
            .build());
  }

  /** Starts a node. */
  public static NodeProcess start(NodeSettings settings, TransportTls tls) throws SSLException {
    NodeProcess process = new NodeProcess(settings, tls);
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "node",
        "id",
        settings.id(),
        "listen",
        settings.listen());
    return process;
  }

  /** Refuses new requests, waits for running ones up to the drain timeout, then stops. */
  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "node", "id", settings.id());
    boolean drained = server.drain(settings.drainTimeoutMs());
    resources.closeAll();
    EVENTS.log(EventCode.PROCESS_STOPPED, "role", "node", "id", settings.id(), "drained", drained);
  }
}
