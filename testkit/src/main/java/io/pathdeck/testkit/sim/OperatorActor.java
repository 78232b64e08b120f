package io.pathdeck.testkit.sim;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControllerClient;
import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DeclarationApplied;
import io.pathdeck.protocol.command.MetaCommand;
import io.pathdeck.protocol.command.SetEngineDraining;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.protocol.query.DeclarationResult;
import io.pathdeck.protocol.query.ReadDeclaration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/** An operator who reads the declaration and races others to change it, and resends commands. */
final class OperatorActor {
  private static final int META = 0;

  /** A command that adds no tenant. */
  private static final String NO_TENANT = "";

  private static final long CALL_TIMEOUT_MS = 4_000;
  private static final double RESEND_CHANCE = 0.3;
  private static final double STALE_VERSION_CHANCE = 0.2;

  private final SimFleet fleet;
  private final Simulation simulation;
  private final Oracle oracle;
  private final String name;
  private final ControllerClient client;
  private final long pauseMs;
  private long nextRequestId = 1;
  private long lastSeenVersion;
  private boolean stopped;

  /** Requests of which a try may have run; only an answer settles them. */
  private final Set<Long> inDoubt = new HashSet<>();

  OperatorActor(SimFleet fleet, String name, long pauseMs) {
    this.fleet = fleet;
    this.simulation = fleet.simulation();
    this.oracle = fleet.oracle();
    this.name = name;
    this.client = fleet.controllerClient(fleet.callers());
    this.pauseMs = pauseMs;
  }

  /** Declares the tenant, the service and the engines, and then runs {@code whenDone}. */
  void declareFleet(Runnable whenDone) {
    FleetShape shape = fleet.shape();
    List<EngineSpec> engines = new ArrayList<>();
    for (SimEngine engine : fleet.engines()) {
      boolean batchOnly = engines.size() < shape.batchEngines();
      engines.add(
          new EngineSpec(
              engine.name,
              "127.0.0.1:1",
              "zone-" + (1 + engines.size() % shape.zones()),
              batchOnly ? shape.batchService() : SimFleet.SERVICE,
              shape.batchSlots(),
              false));
    }
    List<ServiceSpec> services = new ArrayList<>();
    services.add(new ServiceSpec(SimFleet.SERVICE, SimFleet.MODEL, 1));
    if (shape.batchEngines() > 0) {
      services.add(new ServiceSpec(shape.batchService(), "model-batch", 1));
    }
    Declaration declaration =
        new Declaration(
            List.of(new TenantSpec(SimFleet.TENANT, 1, List.of(), 0, 0)), services, engines);
    ApplyDelta command = new ApplyDelta(0, delta(declaration));
    send(
        command,
        SimFleet.TENANT,
        nextRequestId++,
        answer -> {
          if (answer == null) {
            declareFleet(whenDone);
          } else {
            whenDone.run();
          }
        });
  }

  private static DeclarationDelta delta(Declaration upserts) {
    return new DeclarationDelta(upserts, new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
  }

  void run() {
    if (stopped) {
      return;
    }
    long floor = oracle.highestAcceptedVersion();
    client
        .query(META, new ReadDeclaration(), CALL_TIMEOUT_MS)
        .thenAccept(
            result -> {
              if (result.isOk() && result.value() instanceof DeclarationResult read) {
                oracle.onDeclarationRead(read.version(), tenantNames(read), floor);
                change(read.version());
              } else {
                again();
              }
            });
  }

  void stop() {
    stopped = true;
  }

  private void again() {
    fleet.callers().later(simulation.between(pauseMs / 2, pauseMs * 2), this::run);
  }

  private static Set<String> tenantNames(DeclarationResult read) {
    return read.declaration().tenants().stream().map(TenantSpec::name).collect(Collectors.toSet());
  }

  private void change(long readVersion) {
    long requestId = nextRequestId++;
    String tenant = name + "-" + requestId;
    boolean stale = lastSeenVersion > 0 && simulation.chance(STALE_VERSION_CHANCE);
    long expected = stale ? lastSeenVersion : readVersion;
    lastSeenVersion = readVersion;
    Declaration upserts =
        new Declaration(List.of(new TenantSpec(tenant, 1, List.of(), 0, 0)), List.of(), List.of());
    send(new ApplyDelta(expected, delta(upserts)), tenant, requestId, answer -> again());
  }

  /** Sends a command until it is answered or certainly did not run. */
  private void send(
      MetaCommand command, String tenant, long requestId, Consumer<CommandResult> whenAnswered) {
    propose(
        command, requestId, result -> onResult(command, tenant, requestId, whenAnswered, result));
  }

  private void propose(
      MetaCommand command, long requestId, Consumer<Result<CommandResult, ControlError>> whenDone) {
    client
        .propose(META, name, requestId, command, simulation.between(300, CALL_TIMEOUT_MS))
        .thenAccept(whenDone);
  }

  private void onResult(
      MetaCommand command,
      String tenant,
      long requestId,
      Consumer<CommandResult> whenAnswered,
      Result<CommandResult, ControlError> result) {
    if (!result.isOk()) {
      if (result.error().mayHaveRun()) {
        inDoubt.add(requestId);
      }
      if (inDoubt.contains(requestId)) {
        send(command, tenant, requestId, whenAnswered);
      } else {
        if (!tenant.equals(SimFleet.TENANT)) {
          oracle.onOperatorCommandNotRun(tenant);
        }
        whenAnswered.accept(null);
      }
      return;
    }
    oracle.onOperatorAnswer(
        name + "/" + requestId, tenant, expectedVersion(command), result.value());
    if (simulation.chance(RESEND_CHANCE)) {
      fleet
          .callers()
          .later(
              simulation.between(0, 5_000),
              () ->
                  propose(
                      command,
                      requestId,
                      again -> {
                        if (again.isOk()) {
                          oracle.onOperatorAnswer(
                              name + "/" + requestId,
                              tenant,
                              expectedVersion(command),
                              again.value());
                        }
                      }));
    }
    whenAnswered.accept(result.value());
  }

  private static long expectedVersion(MetaCommand command) {
    return command instanceof ApplyDelta apply ? apply.expectedVersion() : -1;
  }

  /** Drains an engine for a while, telling the oracle when the order was accepted. */
  void drainFor(String engine, long durationMs) {
    setDraining(
        engine,
        true,
        () -> {
          oracle.onDraining(engine);
          fleet
              .callers()
              .later(
                  durationMs,
                  () -> {
                    oracle.onDrainingEnds(engine);
                    setDraining(engine, false, () -> {});
                  });
        });
  }

  private void setDraining(String engine, boolean draining, Runnable whenAccepted) {
    long requestId = nextRequestId++;
    send(
        new SetEngineDraining(engine, draining),
        NO_TENANT,
        requestId,
        answer -> {
          if (answer instanceof DeclarationApplied) {
            whenAccepted.run();
          }
        });
  }

  /** Reads the declaration until it can be read. */
  void readFinally(Consumer<DeclarationResult> whenRead) {
    client
        .query(META, new ReadDeclaration(), CALL_TIMEOUT_MS)
        .thenAccept(
            result -> {
              if (result.isOk() && result.value() instanceof DeclarationResult read) {
                whenRead.accept(read);
              } else {
                fleet.callers().later(pauseMs, () -> readFinally(whenRead));
              }
            });
  }
}
