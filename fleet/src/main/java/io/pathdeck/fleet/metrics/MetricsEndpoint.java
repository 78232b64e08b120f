package io.pathdeck.fleet.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventCounts;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.AdminServer;
import io.pathdeck.common.metrics.ProcessMetrics;
import io.pathdeck.common.settings.HostPort;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Serves the metrics of a process. Starts {@value #START_DELAY_MS} ms after its creation, on its
 * own thread, to avoid delaying the start of the process; earlier counts are included.
 */
public final class MetricsEndpoint implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(MetricsEndpoint.class);
  private static final long START_DELAY_MS = 2_500;

  private final HostPort address;
  private final EventLoopGroup eventLoops;
  private final Consumer<MeterRegistry> binder;
  private final BooleanSupplier readiness;
  private final Thread starter = new Thread(this::serveAfterDelay, "metrics-start");
  private boolean closed;
  private AdminServer server;

  /** Creates an endpoint; {@code binder} registers the metrics of this process. */
  public MetricsEndpoint(
      HostPort address,
      EventLoopGroup eventLoops,
      Consumer<MeterRegistry> binder,
      BooleanSupplier readiness) {
    this.address = address;
    this.eventLoops = eventLoops;
    this.binder = binder;
    this.readiness = readiness;
    starter.setDaemon(true);
    starter.start();
  }

  private void serveAfterDelay() {
    try {
      TimeUnit.MILLISECONDS.sleep(START_DELAY_MS);
      serve();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      EVENTS.log(EventCode.METRICS_NOT_SERVED, "listen", address, "reason", e);
    }
  }

  private synchronized void serve() {
    if (closed) {
      return;
    }
    PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    ProcessMetrics.bindTo(registry, EventCounts.SHARED);
    binder.accept(registry);
    server = new AdminServer(address, eventLoops, registry, readiness);
  }

  @Override
  public void close() {
    starter.interrupt();
    synchronized (this) {
      closed = true;
      if (server != null) {
        server.close();
      }
    }
  }
}
