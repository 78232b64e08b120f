package io.pathdeck.dispatch;

import io.micrometer.core.instrument.MeterRegistry;
import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.ItemsLeased;
import io.pathdeck.protocol.command.LeaseItems;
import io.pathdeck.protocol.command.LeasesRenewed;
import io.pathdeck.protocol.command.ReleaseItems;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ItemRef;
import io.pathdeck.protocol.model.LeasedItem;
import io.pathdeck.protocol.query.BacklogResult;
import io.pathdeck.protocol.query.ReadBacklog;
import io.pathdeck.serving.config.ConfigurationFollower;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.AttemptListener;
import io.pathdeck.serving.engine.EngineClient;
import io.pathdeck.serving.engine.EngineLoad;
import io.pathdeck.serving.engine.EngineRequest;
import io.pathdeck.serving.engine.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/** Passes events to the dispatch core and executes its decisions. */
public final class DispatchDuty implements Duty {
  private static final EventLog EVENTS = EventLog.of(DispatchDuty.class);
  private static final int MAX_EVENTS_PER_STEP = 1_024;
  private static final int RING_CAPACITY = 65_536;
  private static final long MAX_IDLE_NS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final long CALL_TIMEOUT_MS = 10_000;
  private static final long ITEM_TIMEOUT_MS = 600_000;

  private final DispatcherSettings settings;
  private final DispatchCore core;
  private final ControlPlane controllers;
  private final EngineClient engineClient;
  private final LoadProbe loadProbe;
  private final ConfigurationFollower configuration;
  private final MeterRegistry metrics;
  private final BoundedRing<DispatchEvent> ring = new BoundedRing<>(RING_CAPACITY);
  private final Map<ItemKey, ItemRun> runs = new HashMap<>();
  private final Map<Integer, PartitionClient> partitions = new TreeMap<>();
  private long configurationVersion = -1;

  /** The time of the current call of {@link #doWork}. */
  private long nowMs;

  private volatile boolean stopRequested;
  private volatile boolean drained;

  public DispatchDuty(
      DispatcherSettings settings,
      DispatchCore core,
      ControlPlane controllers,
      EngineClient engineClient,
      LoadProbe loadProbe,
      ConfigurationFollower configuration,
      MeterRegistry metrics) {
    this.settings = settings;
    this.core = core;
    this.controllers = controllers;
    this.engineClient = engineClient;
    this.loadProbe = loadProbe;
    this.configuration = configuration;
    this.metrics = metrics;
  }

  /** Returns the ring that wakes the duty's thread. */
  public BoundedRing<DispatchEvent> ring() {
    return ring;
  }

  /** Starts a graceful stop: running items may complete, waiting ones are released. */
  public void requestStop() {
    stopRequested = true;
    ring.wakeConsumer();
  }

  /** Returns whether a stop was requested and all items are completed or released. */
  public boolean isDrained() {
    return drained;
  }

  private void offer(DispatchEvent event) {
    while (!ring.offer(event)) {
      Thread.onSpinWait();
    }
  }

  @Override
  public String name() {
    return "dispatch";
  }

  @Override
  public int doWork(long nowNs) {
    nowMs = TimeUnit.NANOSECONDS.toMillis(nowNs);
    applyConfiguration();
    int work = ring.drain(this::handle, MAX_EVENTS_PER_STEP);
    if (stopRequested) {
      releaseWaitingItems();
    }
    if (configuration.hasLease() || stopRequested) {
      execute(core.poll(nowMs));
    }
    renewLeases(nowMs);
    partitions.values().forEach(PartitionClient::commit);
    boolean allCommitted = partitions.values().stream().noneMatch(PartitionClient::hasUncommitted);
    drained = stopRequested && runs.isEmpty() && allCommitted;
    return work;
  }

  private void applyConfiguration() {
    Section.Snapshot<ConfigurationView> snapshot = configuration.section().snapshot();
    if (snapshot.version() == configurationVersion) {
      return;
    }
    configurationVersion = snapshot.version();
    core.onConfiguration(snapshot.value());
    for (int partition = 1; partition <= snapshot.value().partitions(); partition++) {
      partitions.computeIfAbsent(
          partition,
          id ->
              new PartitionClient(id, settings.id(), settings.leaseMs(), controllers, this::offer));
    }
  }

  // ---- events

  private void handle(DispatchEvent event) {
    if (event instanceof DispatchEvent.LoadReported loaded) {
      execute(core.onLoad(loaded.engine(), loaded.load(), nowMs));
    } else if (event instanceof DispatchEvent.Completed completed) {
      onCompleted(completed);
    } else if (event instanceof DispatchEvent.Failed failed) {
      onFailed(failed, nowMs);
    } else if (event instanceof DispatchEvent.Leased leased) {
      onLeased(leased);
    } else if (event instanceof DispatchEvent.BacklogRead read) {
      if (read.result().isOk() && read.result().value() instanceof BacklogResult backlog) {
        core.onBacklog(read.partition(), read.service(), backlog.tenants());
      }
    } else if (event instanceof DispatchEvent.Committed committed) {
      partitions.get(committed.partition()).onCommitted(committed.result());
    } else if (event instanceof DispatchEvent.Renewed renewed) {
      onRenewed(renewed);
    }
  }

  private void onLeased(DispatchEvent.Leased event) {
    Result<CommandResult, ControlError> result = event.result();
    List<LeasedItem> items = List.of();
    long leaseId = 0;
    if (result.isOk() && result.value() instanceof ItemsLeased leased) {
      items = leased.items();
      leaseId = leased.leaseId();
    } else if (!result.isOk()) {
      EVENTS.log(
          EventCode.PARTITION_UNREACHABLE,
          "partition",
          event.partition(),
          "reason",
          result.error().reason());
    }
    for (LeasedItem item : items) {
      ItemKey key = new ItemKey(event.partition(), leaseId, item.jobId(), item.index());
      runs.put(key, new ItemRun(key, item));
    }
    core.onLeased(event.partition(), event.service(), leaseId, items);
  }

  private void onCompleted(DispatchEvent.Completed completed) {
    ItemRun run = runs.get(completed.item());
    if (run == null || !run.isRunning(completed.attempt())) {
      return;
    }
    runs.remove(completed.item());
    core.onCompleted(completed.item(), run.tokens());
    partitions.get(completed.item().partition()).addResult(run.toResult());
    metrics.counter("pathdeck_items", "outcome", "completed").increment();
    metrics.counter("pathdeck_item_tokens").increment(run.tokens());
  }

  private void onFailed(DispatchEvent.Failed failed, long nowMs) {
    ItemRun run = runs.get(failed.item());
    if (run == null || !run.isRunning(failed.attempt())) {
      return;
    }
    run.endAttempt();
    EVENTS.log(EventCode.ITEM_RETRIED, "item", run.requestId(), "failure", failed.failure());
    execute(core.onFailed(failed.item(), failed.failure(), nowMs));
  }

  private void onRenewed(DispatchEvent.Renewed renewed) {
    partitions.get(renewed.partition()).onRenewed();
    if (renewed.result().isOk() && renewed.result().value() instanceof LeasesRenewed response) {
      Set<Long> lost = new HashSet<>(response.lostLeases());
      Set<String> ended = new HashSet<>(response.cancelledJobs());
      if (lost.isEmpty() && ended.isEmpty()) {
        return;
      }
      EVENTS.log(
          EventCode.LEASE_REVOKED, "partition", renewed.partition(), "leases", lost, "jobs", ended);
      execute(core.onRevoked(renewed.partition(), lost, ended));
      runs.keySet().retainAll(core.heldItems());
    }
  }

  // ---- decisions

  private void execute(List<DispatchDecision> decisions) {
    for (DispatchDecision decision : decisions) {
      if (decision instanceof DispatchDecision.StartItem start) {
        startItem(runs.get(start.item()), start.engine());
      } else if (decision instanceof DispatchDecision.PreemptItem preempt) {
        stopAttempt(runs.get(preempt.item()));
      } else if (decision instanceof DispatchDecision.Lease lease) {
        lease(lease);
      } else if (decision instanceof DispatchDecision.ReadBacklog read) {
        controllers
            .query(read.partition(), new ReadBacklog(read.service()), CALL_TIMEOUT_MS)
            .thenAccept(
                result ->
                    offer(new DispatchEvent.BacklogRead(read.partition(), read.service(), result)));
      } else if (decision instanceof DispatchDecision.ProbeLoad probe) {
        loadProbe.probe(
            probe.engine(),
            load -> offer(new DispatchEvent.LoadReported(probe.engine().name(), load)));
      } else if (decision instanceof DispatchDecision.FailItem fail) {
        failItem(fail);
      }
    }
  }

  private void lease(DispatchDecision.Lease lease) {
    LeaseItems command =
        new LeaseItems(
            settings.id(), lease.service(), lease.tenant(), lease.count(), settings.leaseMs());
    controllers
        .propose(lease.partition(), command, CALL_TIMEOUT_MS)
        .thenAccept(
            result -> offer(new DispatchEvent.Leased(lease.partition(), lease.service(), result)));
  }

  private void failItem(DispatchDecision.FailItem fail) {
    ItemRun run = runs.remove(fail.item());
    if (run != null) {
      partitions.get(fail.item().partition()).addResult(run.toFailure(fail.code(), fail.message()));
      metrics.counter("pathdeck_items", "outcome", "failed").increment();
    }
  }

  private void startItem(ItemRun run, EngineSpec engine) {
    if (run == null) {
      return;
    }
    int attempt = run.beginAttempt();
    if (run.generation() == null) {
      offer(
          new DispatchEvent.Failed(run.key, attempt, new AttemptFailure.Invalid(400, new byte[0])));
      return;
    }
    EngineRequest request =
        new EngineRequest(
            run.attemptId(settings.id(), attempt),
            run.requestId(),
            run.leasedItem.endpoint(),
            run.generation().engineBody(),
            Priority.BATCH,
            run.tokens(),
            settings.engineIdleTimeoutMs(),
            ITEM_TIMEOUT_MS);
    run.call =
        engineClient.start(engine, request, new ItemAttemptListener(run, attempt, engine.name()));
  }

  private static void stopAttempt(ItemRun run) {
    if (run != null) {
      run.endAttempt();
      if (run.call != null) {
        run.call.cancel();
      }
    }
  }

  private void renewLeases(long nowMs) {
    Map<Integer, Set<Long>> held = new HashMap<>();
    for (ItemKey key : runs.keySet()) {
      held.computeIfAbsent(key.partition(), id -> new TreeSet<>()).add(key.leaseId());
    }
    held.forEach(
        (partition, leaseIds) -> partitions.get(partition).renew(List.copyOf(leaseIds), nowMs));
  }

  /** Releases items without a running attempt to their partitions. */
  private void releaseWaitingItems() {
    core.stop();
    Map<Integer, Map<Long, List<ItemRef>>> released = new HashMap<>();
    for (ItemRun run : new ArrayList<>(runs.values())) {
      if (!run.isRunning()) {
        runs.remove(run.key);
        core.discard(run.key);
        released
            .computeIfAbsent(run.key.partition(), id -> new HashMap<>())
            .computeIfAbsent(run.key.leaseId(), id -> new ArrayList<>())
            .add(new ItemRef(run.key.jobId(), run.key.index()));
      }
    }
    released.forEach(
        (partition, byLease) ->
            byLease.forEach(
                (leaseId, items) ->
                    controllers.propose(
                        partition,
                        new ReleaseItems(settings.id(), leaseId, items),
                        CALL_TIMEOUT_MS)));
  }

  @Override
  public long maxIdleNs() {
    return MAX_IDLE_NS;
  }

  /** Collects the response of one attempt and reports its end to the duty. */
  private final class ItemAttemptListener implements AttemptListener {
    private final ItemRun run;
    private final int attempt;
    private final String engine;

    ItemAttemptListener(ItemRun run, int attempt, String engine) {
      this.run = run;
      this.attempt = attempt;
      this.engine = engine;
    }

    @Override
    public void onLoad(EngineLoad load) {
      offer(new DispatchEvent.LoadReported(engine, load));
    }

    @Override
    public void onEvents(byte[] events, int tokens) {
      run.addEvents(attempt, events, tokens);
    }

    @Override
    public void onCompleted() {
      offer(new DispatchEvent.Completed(run.key, attempt));
    }

    @Override
    public void onFailed(AttemptFailure failure) {
      offer(new DispatchEvent.Failed(run.key, attempt, failure));
    }
  }
}
