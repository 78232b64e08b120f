package io.pathdeck.dispatch;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.DutyThread;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.AdminServer;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerConnections;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.engine.HttpEngineClient;
import java.util.concurrent.TimeUnit;

/** A running dispatcher process. */
public final class DispatcherProcess implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(DispatcherProcess.class);
  private static final int NETWORK_THREADS = 2;
  private static final int MAX_CONNECTIONS_PER_ENGINE = 1_024;
  private static final long DRAIN_POLL_MS = 20;

  private final DispatcherSettings settings;
  private final ResourceStack resources = new ResourceStack();
  private final DispatchDuty duty;

  private DispatcherProcess(DispatcherSettings settings, TransportTls tls) {
    this.settings = settings;
    EventLoopGroup eventLoops = EventLoops.create(NETWORK_THREADS);
    resources.push(eventLoops::shutdownGracefully);
    ControlPlane controllers =
        resources
            .push(new ControllerConnections(settings.controllers(), eventLoops, tls, settings.id()))
            .client();
    ConfigurationFollower configuration =
        new ConfigurationFollower(settings.id(), "dispatcher", controllers, System::nanoTime);
    HttpEngineClient engines =
        resources.push(new HttpEngineClient(eventLoops, MAX_CONNECTIONS_PER_ENGINE));
    HttpLoadProbe loadProbe = resources.push(new HttpLoadProbe(eventLoops));
    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    duty =
        new DispatchDuty(
            settings,
            new DispatchCore(DispatchPolicy.DEFAULT),
            controllers,
            engines,
            loadProbe,
            configuration,
            metrics);
    resources.push(new DutyThread(configuration, configuration.ring()).start());
    resources.push(new DutyThread(duty, duty.ring()).start());
    resources.push(
        new AdminServer(settings.adminListen(), eventLoops, metrics, configuration::hasLease));
  }

  /** Starts a dispatcher. */
  public static DispatcherProcess start(DispatcherSettings settings, TransportTls tls) {
    DispatcherProcess process = new DispatcherProcess(settings, tls);
    EVENTS.log(EventCode.PROCESS_STARTED, "role", "dispatcher", "id", settings.id());
    return process;
  }

  /** Completes running items up to the drain timeout, releases the others and commits results. */
  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "dispatcher", "id", settings.id());
    duty.requestStop();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainTimeoutMs());
    while (!duty.isDrained() && System.nanoTime() < deadlineNs) {
      try {
        Thread.sleep(DRAIN_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    boolean drained = duty.isDrained();
    resources.closeAll();
    EVENTS.log(
        EventCode.PROCESS_STOPPED, "role", "dispatcher", "id", settings.id(), "drained", drained);
  }
}
