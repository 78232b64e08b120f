package io.pathdeck.testkit.sim;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.serving.api.ClaimService;
import io.pathdeck.serving.api.GenerationRequest;
import io.pathdeck.serving.api.NodeMetrics;
import io.pathdeck.serving.api.OnlineRequest;
import io.pathdeck.serving.api.ResponseWriter;
import io.pathdeck.serving.api.RoutingDuty;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.routing.RoutableRequest;
import io.pathdeck.serving.routing.RoutingCore;
import io.pathdeck.serving.routing.RoutingSettings;
import io.pathdeck.state.PartitionIds;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A node: the configuration follower, the routing duty and the claims of production. */
final class SimNode extends SimProcess {
  private static final long ENGINE_IDLE_TIMEOUT_MS = 2_000;
  private static final long REQUEST_TIMEOUT_MS = 20_000;
  private static final long RETRY_AFTER_MS = 500;
  private static final long STOP_POLL_MS = 20;

  private final SimFleet fleet;
  private final String zone;
  private ConfigurationFollower configuration;
  private RoutingDuty routing;
  private ClaimService claims;
  private final Set<Long> inProgress = new LinkedHashSet<>();
  private boolean stopping;

  SimNode(String name, String zone, SimFleet fleet) {
    super(name, fleet.simulation());
    this.zone = zone;
    this.fleet = fleet;
  }

  @Override
  List<Duty> boot() {
    ControllerClient client = fleet.controllerClient(this);
    ControlPlane heartbeats = fleet.configurationSource(this, client);
    configuration = new ConfigurationFollower(name, "node", heartbeats, this::clockNs);
    RoutingCore core =
        new RoutingCore(RoutingSettings.DEFAULT, name, zone, simulation.random().nextLong());
    routing =
        new RoutingDuty(
            core,
            new SimEngineClient(fleet, this),
            configuration.section(),
            new NodeMetrics(new SimpleMeterRegistry()),
            ENGINE_IDLE_TIMEOUT_MS,
            this::clockNs);
    claims = new ClaimService(client);
    inProgress.clear();
    stopping = false;
    return List.of(configuration, routing);
  }

  /** Whether the node would serve a request now. */
  boolean serves() {
    boolean lease = configuration.hasLease() || fleet.hasDefect(Defect.CONFIGURATION_LEASE_IGNORED);
    return isAlive() && !isFrozen() && !stopping && lease && configurationVersion() > 0;
  }

  long configurationVersion() {
    return configuration.section().read().version();
  }

  /** Starts a planned stop; {@code whenStopped} runs after the process has ended. */
  void stopAsPlanned(Runnable whenStopped) {
    if (fleet.hasDefect(Defect.STOP_CUTS_REQUESTS)) {
      checkNothingCut();
      kill();
      whenStopped.run();
      return;
    }
    stopping = true;
    awaitStop(whenStopped);
  }

  private void awaitStop(Runnable whenStopped) {
    if (!isAlive() || inProgress.isEmpty()) {
      kill();
      whenStopped.run();
      return;
    }
    simulation.scheduleMs(STOP_POLL_MS, () -> awaitStop(whenStopped));
  }

  private void checkNothingCut() {
    if (!inProgress.isEmpty()) {
      fleet
          .oracle()
          .violation(
              Promise.PLANNED_STOP_CUTS_NOTHING, name + " stopped with requests in progress");
    }
  }

  /** Takes a request of a caller beside this node, as the HTTP API would. */
  void submit(SimRequest request) {
    deliver(() -> accept(request));
  }

  private void accept(SimRequest request) {
    if (!serves()) {
      request.onRefused(
          ApiError.unavailable("unavailable", "the node does not serve", RETRY_AFTER_MS));
      return;
    }
    fleet.oracle().onServed(this);
    inProgress.add(request.id());
    GenerationRequest generation =
        GenerationRequest.parse(GenerationRequest.CHAT_PATH, request.body()).value();
    boolean repeatable =
        request.claimKey().isEmpty() || fleet.hasDefect(Defect.RETRY_OF_NON_REPEATABLE);
    RoutableRequest routable =
        new RoutableRequest(
            request.id(),
            SimFleet.TENANT,
            SimFleet.SERVICE,
            generation.prefixHash(),
            repeatable,
            TimeUnit.NANOSECONDS.toMillis(clockNs()) + REQUEST_TIMEOUT_MS);
    ResponseWriter writer = new Writer(request, life());
    fleet.registerWriter("cmpl-" + Long.toHexString(request.id()), writer);
    if (request.claimKey().isEmpty() || fleet.hasDefect(Defect.RUN_BEFORE_CLAIM)) {
      route(routable, generation, writer);
    } else {
      claim(request, routable, generation, writer);
    }
  }

  private void route(
      RoutableRequest routable, GenerationRequest generation, ResponseWriter writer) {
    routing.submit(new OnlineRequest(routable, generation, writer, clockNs()));
  }

  private void claim(
      SimRequest request,
      RoutableRequest routable,
      GenerationRequest generation,
      ResponseWriter writer) {
    String claimKey = request.claimKey().get();
    ClaimService.Claim claim =
        new ClaimService.Claim(
            PartitionIds.partitionForKey(claimKey, SimFleet.PARTITIONS),
            claimKey,
            SimFleet.TENANT,
            Integer.toHexString(claimKey.hashCode()),
            name + "-" + request.id());
    claims.claim(
        claim,
        generation,
        writer,
        new ClaimService.ClaimListener() {
          @Override
          public void granted(ResponseWriter claimedWriter) {
            route(routable, generation, claimedWriter);
          }

          @Override
          public void alreadyCompleted(int status, String contentType, byte[] body) {
            inProgress.remove(request.id());
            request.onStoredAnswer(body);
          }

          @Override
          public void refused(ApiError error) {
            inProgress.remove(request.id());
            request.onFailed(error);
          }
        });
  }

  /** Hands the answer to the caller, who is beside the node. */
  private final class Writer implements ResponseWriter {
    private final SimRequest request;
    private final int writerLife;

    Writer(SimRequest request, int writerLife) {
      this.request = request;
      this.writerLife = writerLife;
    }

    @Override
    public boolean onEvents(byte[] events, int tokens) {
      if (writerLife == life()) {
        request.onEvents(events, tokens);
      }
      return true;
    }

    @Override
    public void complete() {
      if (writerLife == life()) {
        inProgress.remove(request.id());
        request.onCompleted();
      }
    }

    @Override
    public void fail(ApiError error) {
      if (writerLife == life()) {
        inProgress.remove(request.id());
        request.onFailed(error);
      }
    }
  }
}
