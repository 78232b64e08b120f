package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineLoadBalancer.RegionPreference;
import io.pathdeck.fleet.engine.EngineLoadClient;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.NettyEngineTransport;
import io.pathdeck.fleet.load.LoadExchange;
import io.pathdeck.fleet.load.LoadMetrics;
import io.pathdeck.fleet.member.CoordinatorContacts;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.metrics.FleetMetrics;
import io.pathdeck.fleet.metrics.MetricsEndpoint;
import io.pathdeck.fleet.origin.StreamOrigins;
import io.pathdeck.fleet.quarantine.CrashSuspects;
import io.pathdeck.fleet.quarantine.EngineCrashReporter;
import io.pathdeck.fleet.quarantine.HeldBackSends;
import io.pathdeck.fleet.quarantine.QuarantiningTransport;
import io.pathdeck.fleet.traffic.RegionTraffic;
import io.pathdeck.fleet.warmup.ColdStartBudget;
import io.pathdeck.fleet.warmup.ColdStartMetrics;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.ConnectionMemory;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.HttpServer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/** A gateway process. Forwards callers' requests to engines and keeps no durable state. */
public final class GatewayProcess implements FleetMemberProcess {
  private static final EventLog EVENTS = EventLog.of(GatewayProcess.class);

  /** For the answers to requests that are ended by a stop to reach their callers. */
  private static final long LAST_ANSWERS_MS = 200;

  private final GatewaySettings settings;
  private final FleetAdapter adapter;
  private final ResourceStack resources = new ResourceStack();
  private final RegionTraffic regionTraffic;
  private final CoordinatorContacts contacts;
  private final FleetFollower follower;
  private final StreamOrigins streamOrigins;
  private final Gateway gateway;
  private final LoadExchange loadExchange;
  private final ColdStartMetrics coldStartMetrics = new ColdStartMetrics();
  private final ColdStartBudget coldStartBudget;
  private final HeldBackSends heldBackSends;
  private final HttpServer callerServer;
  private final EventLoop eventLoop;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final SignalDelayWatch signalDelay =
      resources.push(new SignalDelayWatch(System.nanoTime()).start());

  private GatewayProcess(GatewaySettings settings, TransportTls tls, FleetAdapter adapter) {
    this.settings = settings;
    this.adapter = adapter;
    FleetSettings fleet = settings.fleet();
    EventLoopGroup eventLoops = EventLoops.create(1);
    resources.push(eventLoops::shutdownGracefully);
    eventLoop = eventLoops.next();
    regionTraffic = new RegionTraffic(fleet.zone(), fleet.topology());
    PeerPool pool =
        resources.push(
            new PeerPool(eventLoops, tls, fleet.peerCompression(), regionTraffic::meterOf));
    long startNs = System.nanoTime();
    contacts = new CoordinatorContacts(fleet, pool, eventLoops);
    TenantLimiter limiter =
        new TenantLimiter(
            eventLoop, contacts.client(), fleet.name(), startNs, fleet.limitWindowMs());
    follower =
        contacts.createFollower(
            eventLoop,
            () ->
                new FleetFollower.SelfReport(describe(startNs), false, null, limiter.tenantUses()));
    follower.setContentionListener(limiter::onContendedTenants);
    JobsGroupLocator jobs =
        new JobsGroupLocator(pool, RetryTimer.on(eventLoops), follower::view, fleet.topology());
    RequestMetrics metrics = new RequestMetrics();
    coldStartBudget = new ColdStartBudget(fleet.name(), follower::isConfirmed, coldStartMetrics);
    EngineEligibility eligibility = new EngineEligibility(fleet.topology(), coldStartBudget);
    streamOrigins =
        new StreamOrigins(
            eventLoop,
            pool,
            fleet.name(),
            eligibility.softwareVersions(),
            () -> follower.areEnginesConfirmedWithin(SoftwareVersions.MAX_VIEW_AGE_MS));
    NettyEngineTransport connections =
        new NettyEngineTransport(
            eventLoop, adapter.engines(), engine -> regionTraffic.engineMeter(engine.zone()));
    QuarantiningTransport transport = createEngineTransport(eventLoop, connections);
    heldBackSends = transport.heldBackSends();
    follower.setSuspectedPartsListener(transport::updateSuspectedParts);
    gateway =
        new Gateway(
            eventLoop,
            adapter.callers(),
            follower::view,
            follower::isUsable,
            follower::startProgress,
            follower::isConfirmed,
            new BatchCalls(jobs, adapter.callers(), metrics.jobReadFailures()),
            limiter,
            transport,
            loadBalancer(fleet, startNs),
            eligibility,
            streamOrigins,
            metrics);
    gateway.setSendingPaused(this::isSendingPaused);
    LoadMetrics loadMetrics = new LoadMetrics();
    loadExchange = resources.push(createLoadExchange(eventLoop, startNs, loadMetrics));
    gateway.setPeriodicCheck(this::checkPeriodically);
    if (!fleet.tls().isEnabled()) {
      gateway.setCallStartListener(loadExchange::onCallStarted);
    }
    follower.setChangeListener(view -> onChange(view, connections, transport));
    follower.setMissedViewsListener(SoftwareVersions.MAX_VIEW_AGE_MS, gateway::onViewsMissed);
    startPeerServer(eventLoops, tls);
    callerServer = startCallerServer(eventLoops, metrics.memory());
    startReadinessServer(eventLoops);
    startMetrics(eventLoops, metrics, loadMetrics);
    resources.push(follower);
  }

  private boolean isSendingPaused() {
    return follower.isResuming() || signalDelay.maySignalBePending(System.nanoTime());
  }

  private void startPeerServer(EventLoopGroup eventLoops, TransportTls tls) {
    FleetSettings fleet = settings.fleet();
    resources.push(
        new PeerServer(
            fleet.listen(),
            eventLoops,
            tls,
            fleet.peerCompression(),
            streamOrigins.exchange()::onMessage));
  }

  private HttpServer startCallerServer(EventLoopGroup eventLoops, MemoryMetrics metrics) {
    return resources.push(
        new HttpServer(
            settings.callersListen(),
            eventLoops,
            settings.limits(),
            Optional.empty(),
            memoryFactory(settings, metrics),
            gateway::handle));
  }

  private void startReadinessServer(EventLoopGroup eventLoops) {
    resources.push(
        new HttpServer(
            settings.readinessListen(),
            eventLoops,
            settings.limits(),
            Optional.empty(),
            this::handleReadinessCheck));
  }

  private void checkPeriodically() {
    coldStartBudget.onTick(nowMs());
    if (!settings.fleet().tls().isEnabled()) {
      loadExchange.openIfNeeded();
    }
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void startMetrics(
      EventLoopGroup eventLoops, RequestMetrics metrics, LoadMetrics loadMetrics) {
    settings
        .fleet()
        .metricsListen()
        .ifPresent(
            address ->
                resources.push(
                    new MetricsEndpoint(
                        address,
                        eventLoops,
                        registry -> bindMetrics(registry, metrics, loadMetrics),
                        this::isReady)));
  }

  private static Supplier<ConnectionMemory> memoryFactory(
      GatewaySettings settings, MemoryMetrics metrics) {
    if (settings.memoryBudgetMb() == 0) {
      return HttpServer.limitBodiesOnly(settings.limits());
    }
    return new MemoryBudget(settings.memoryBudgetBytes(), metrics)::open;
  }

  private static EngineLoadBalancer loadBalancer(FleetSettings fleet, long seed) {
    RegionPreference preference =
        fleet.topology().hasSeveralRegions()
            ? RegionPreference.OWN_REGION_WHILE_FREE
            : RegionPreference.BALANCED;
    return new EngineLoadBalancer(fleet.zone(), fleet.topology(), preference, seed);
  }

  private LoadExchange createLoadExchange(
      EventLoop eventLoop, long incarnation, LoadMetrics metrics) {
    FleetSettings fleet = settings.fleet();
    return new LoadExchange(
        eventLoop,
        new LoadExchange.Self(fleet.name(), incarnation, fleet.zone(), fleet.listen()),
        gateway.engines(),
        metrics,
        settings.shareLoad());
  }

  private QuarantiningTransport createEngineTransport(
      EventLoop eventLoop, NettyEngineTransport connections) {
    EngineCrashReporter reporter =
        new EngineCrashReporter(eventLoop, contacts.client(), follower::reportNow);
    follower.setNewLeaderListener(reporter::onNewLeader);
    EngineLivenessProbe liveness =
        new EngineLivenessProbe(eventLoop, connections, adapter.engines());
    QuarantiningTransport quarantining =
        new QuarantiningTransport(
            connections,
            adapter.engines(),
            liveness,
            reporter,
            CrashSuspects.REQUESTS_AND_PROMPT_PARTS,
            eventLoop,
            engine -> gateway.onEngineEnded(engine));
    watchForColdEngines(eventLoop, connections, quarantining);
    return quarantining;
  }

  private void watchForColdEngines(
      EventLoop eventLoop, NettyEngineTransport connections, QuarantiningTransport transport) {
    connections.setIdleLossListener(
        engine -> {
          if (coldStartBudget.appliesTo(engine)) {
            transport.checkEngine(engine);
          }
        });
    EngineLoadClient reports =
        new EngineLoadClient(transport, adapter.engines(), this::onEngineReport);
    coldStartBudget.setReportRequester(engine -> eventLoop.execute(() -> reports.fetch(engine)));
  }

  private void onEngineReport(String engineId, EngineLoadReport report, long coldLeftMs) {
    EngineState engine = gateway.engines().find(engineId);
    if (engine == null) {
      return;
    }
    coldStartBudget.onReport(engine.instance(), report.bornMs(), nowMs());
    if (coldLeftMs != EngineResponse.COLD_UNKNOWN) {
      engine.onColdTold(coldLeftMs, nowMs());
    }
  }

  private void onChange(
      FleetView view, NettyEngineTransport connections, QuarantiningTransport transport) {
    regionTraffic.onChange(view);
    transport.updateQuarantine(view.quarantine());
    coldStartBudget.onChange(view, nowMs());
    if (view.engines() != null) {
      connections.onListed(view.engines());
    }
    gateway.onChange(view);
    loadExchange.onChange(view);
    if (view.routes() != null) {
      callerServer.setLimits(settings.effectiveLimits(view.routes().limits()));
    }
  }

  private void bindMetrics(
      MeterRegistry registry, RequestMetrics metrics, LoadMetrics loadMetrics) {
    metrics.bindTo(registry);
    loadMetrics.bindTo(registry);
    coldStartMetrics.bindTo(registry);
    regionTraffic.bindTo(registry);
    heldBackSends.bindTo(registry);
    FleetMetrics.bindView(registry, follower);
    FleetMetrics.bindEvacuations(registry, settings.fleet().topology(), follower);
  }

  public static GatewayProcess start(
      GatewaySettings settings, TransportTls tls, FleetAdapter adapter) {
    GatewayProcess process = new GatewayProcess(settings, tls, adapter);
    process.follower.start();
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "gateway",
        "id",
        settings.fleet().name(),
        "listen",
        settings.callersListen());
    return process;
  }

  private FleetProcess describe(long incarnation) {
    return new FleetProcess(
        settings.fleet().name(),
        FleetRole.GATEWAY,
        settings.fleet().zone(),
        0,
        incarnation,
        settings.fleet().listen().toString(),
        settings.callersListen().toString(),
        isReady(),
        FleetProcess.NO_GROUP,
        settings.cores());
  }

  private boolean isReady() {
    return !stopping.get() && follower.isUsable();
  }

  private void handleReadinessCheck(HttpExchange exchange) {
    if (!exchange.path().equals(adapter.callers().readinessPath())) {
      exchange.sendError(ApiError.notFound("not_found", "no such call"));
    } else if (isReady()) {
      exchange.sendJson(200, new byte[] {'{', '}'});
    } else {
      Refusals.unavailable(exchange, stopping.get() ? "stopping" : "starting", 1_000);
    }
  }

  @Override
  public void reload(FleetSettings newSettings) {
    contacts.setSeeds(newSettings.seedAddresses());
    EVENTS.log(EventCode.SETTINGS_RELOADED, "seeds", newSettings.seedAddresses());
  }

  /** Stops as {@link #stop} does, for a signal that is handled now. */
  @Override
  public void close() {
    stop(System.nanoTime());
  }

  /**
   * Shuts down gracefully: reports not ready at once, keeps serving for the minimum drain time so
   * that callers learn of it, then drains requests in progress until the drain timeout, and ends
   * what is left. Both times count from when the process may have been told to stop. Further calls
   * have no effect.
   *
   * @param signaledNs when the signal to stop was handled, by {@link System#nanoTime}
   */
  public void stop(long signaledNs) {
    if (!stopping.compareAndSet(false, true)) {
      return;
    }
    long beginNs = signalDelay.earliestSignalNs(signaledNs);
    StopSchedule schedule = StopSchedule.beginningAt(beginNs, settings);
    callerServer.refuseRequestsFrom(schedule.refuseFromNs());
    gateway.beginStop(schedule);
    EVENTS.log(
        EventCode.PROCESS_STOPPING,
        "role",
        "gateway",
        "id",
        settings.fleet().name(),
        "suspended_ms",
        TimeUnit.NANOSECONDS.toMillis(signaledNs - beginNs));
    follower.reportNow();
    streamOrigins.handOver();
    callerServer.closeConnectionsAfterResponses();
    boolean drained = serveOn(schedule) && callerServer.drain(schedule.leftMs(System.nanoTime()));
    if (!drained) {
      eventLoop.execute(gateway::endRequests);
      callerServer.endRequests(LAST_ANSWERS_MS);
    }
    resources.closeAll();
    EVENTS.log(
        EventCode.PROCESS_STOPPED,
        "role",
        "gateway",
        "id",
        settings.fleet().name(),
        "drained",
        drained);
  }

  /**
   * Sleeps for the time in which the directory and the platform should remove this gateway from
   * their lists; returns false if interrupted.
   */
  private static boolean serveOn(StopSchedule schedule) {
    try {
      Thread.sleep(schedule.serveLeftMs(System.nanoTime()));
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
