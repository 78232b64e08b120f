package io.pathdeck.fleet.member;

import io.netty.channel.EventLoop;
import io.pathdeck.common.duty.ProcessStart;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.TenantUse;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import io.pathdeck.protocol.message.Message;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Reports this process to the coordinators and updates its view of the fleet from their answers.
 *
 * <p>A process that cannot reach the coordinators continues with its last view. It never returns to
 * an older configuration. Any thread may call the methods marked as thread-safe; all other state
 * belongs to one event loop.
 */
public final class FleetFollower implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(FleetFollower.class);
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long ATTEMPT_TIMEOUT_MS = 500;

  /** The content of a heartbeat that describes the process; created for each heartbeat. */
  public record SelfReport(
      FleetProcess process,
      boolean mayFound,
      JobsGroupReport jobsGroup,
      List<TenantUse> tenantUse) {
    /** Creates the report of a process that admits no requests of callers. */
    public SelfReport(FleetProcess process, boolean mayFound, JobsGroupReport jobsGroup) {
      this(process, mayFound, jobsGroup, List.of());
    }
  }

  /**
   * A report that was sent.
   *
   * @param engineEpoch the leadership whose list of engines this process had at that time
   */
  record SentReport(Moment sent, long engineEpoch) {}

  private final EventLoop eventLoop;
  private final GroupClient coordinators;
  private final Supplier<SelfReport> selfReport;
  private final Section<FleetView> view = new Section<>(FleetView.EMPTY);
  private final Map<String, EngineInstance> engines = new HashMap<>();
  private final Map<String, FleetProcess> processes = new HashMap<>();
  private Consumer<FleetView> changeListener = ignored -> {};
  private Consumer<List<String>> contentionListener = ignored -> {};
  private Consumer<List<RequestFingerprint>> suspectedPartsListener = ignored -> {};
  private Runnable newLeaderListener = () -> {};
  private long maxViewGapMs = Long.MAX_VALUE;
  private Consumer<FleetView> missedViewsListener = ignored -> {};
  private boolean enginesKnown;
  private long engineEpoch = FleetUpdate.NO_LEADERS_EPOCH;
  private long engineSequence;
  private long processEpoch = FleetUpdate.NO_LEADERS_EPOCH;
  private long processSequence;
  private final ViewFreshness freshness = new ViewFreshness(processStartNs());
  private final long createdNs = System.nanoTime();
  private final ReportInterval reportInterval = new ReportInterval(createdNs);
  private boolean connected;
  private boolean closed;

  /** Creates a follower; {@link #start} starts reporting. */
  public FleetFollower(
      EventLoop eventLoop, GroupClient coordinators, Supplier<SelfReport> selfReport) {
    this.eventLoop = eventLoop;
    this.coordinators = coordinators;
    this.selfReport = selfReport;
  }

  private static long processStartNs() {
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    return TimeUnit.MILLISECONDS.toNanos(ProcessStart.monotonicMs(nowMs));
  }

  /** Returns the current view. Thread-safe. */
  public FleetView view() {
    return view.read();
  }

  /**
   * Whether the leader has answered recently. Otherwise routes may have been added or removed in
   * the meantime. Thread-safe.
   */
  public boolean isConfirmed() {
    return freshness.isConfirmed(Moment.now());
  }

  /**
   * Whether the leader has answered a report that was sent in the last {@code maxAgeMs}.
   * Thread-safe.
   */
  public boolean isConfirmedWithin(long maxAgeMs) {
    return freshness.isConfirmedWithin(maxAgeMs, Moment.now());
  }

  /** Whether a leader has ever answered this process. Thread-safe. */
  public boolean hasLeaderAnswered() {
    return freshness.hasLeaderAnswered();
  }

  /**
   * Whether the view may be used: a leader has sent it, or a coordinator that knows no leader has
   * just sent its last-known state. Later a newer configuration may be in force. Thread-safe.
   */
  public boolean isUsable() {
    return view().isComplete() && freshness.isUsable(System.nanoTime());
  }

  /**
   * Whether a leader that has read the list of engines has answered a report that was sent in the
   * last {@code maxAgeMs}. Thread-safe.
   */
  public boolean areEnginesConfirmedWithin(long maxAgeMs) {
    return freshness.areEnginesConfirmedWithin(maxAgeMs, Moment.now());
  }

  /**
   * Whether this process was suspended and has not heard since then what changed meanwhile. False
   * for a process that is cut off from the coordinators, which continues with its last view.
   * Thread-safe.
   */
  public boolean isResuming() {
    return freshness.isReportOverdue(Moment.now());
  }

  /** Returns how far this process has got in obtaining a view of the fleet. Thread-safe. */
  public StartProgress startProgress() {
    return freshness.startProgress(createdNs, System.nanoTime());
  }

  /** Sets a listener that is called on the event loop after each change; call before the start. */
  public void setChangeListener(Consumer<FleetView> listener) {
    changeListener = listener;
  }

  /**
   * Sets a listener for the tenants near their limits, called on the event loop at each answer of a
   * leader; call before the start.
   */
  public void setContentionListener(Consumer<List<String>> listener) {
    contentionListener = listener;
  }

  /**
   * Sets a listener for the parts of prompts that may crash engines, called on the event loop at
   * each answer of a leader; call before the start.
   */
  public void setSuspectedPartsListener(Consumer<List<RequestFingerprint>> listener) {
    suspectedPartsListener = listener;
  }

  /** Sets a listener for new leaders, called on the event loop; call before the start. */
  public void setNewLeaderListener(Runnable listener) {
    newLeaderListener = listener;
  }

  /**
   * Sets a listener for the first view after more than {@code maxGapMs} without a leader that knew
   * the list of engines, called on the event loop after the change listener; call before the start.
   */
  public void setMissedViewsListener(long maxGapMs, Consumer<FleetView> listener) {
    maxViewGapMs = maxGapMs;
    missedViewsListener = listener;
  }

  public void start() {
    eventLoop.execute(this::reportPeriodically);
  }

  /** Sends an additional report immediately, so that others learn of a change soon. Thread-safe. */
  public void reportNow() {
    eventLoop.execute(this::sendReport);
  }

  private void reportPeriodically() {
    if (closed) {
      return;
    }
    sendReport()
        .whenComplete(
            (done, failure) ->
                eventLoop.schedule(this::reportPeriodically, intervalMs(), TimeUnit.MILLISECONDS));
  }

  private long intervalMs() {
    if (isResuming()) {
      return 0;
    }
    boolean hasLeadersEngines = engineEpoch != FleetUpdate.NO_LEADERS_EPOCH;
    boolean followsLeader = hasLeadersEngines && view().isComplete();
    return reportInterval.intervalMs(followsLeader, System.nanoTime());
  }

  private java.util.concurrent.CompletableFuture<Void> sendReport() {
    SelfReport self = selfReport.get();
    RouteTable routes = view().routes();
    FleetHeartbeat heartbeat =
        new FleetHeartbeat(
            self.process(),
            self.mayFound(),
            routes == null ? RouteTable.NO_VERSION : routes.version(),
            engineEpoch,
            engineSequence,
            processEpoch,
            processSequence,
            self.jobsGroup(),
            view().quarantine().version(),
            view().evacuatedZones().version(),
            self.tenantUse());
    SentReport report = new SentReport(Moment.now(), engineEpoch);
    return coordinators
        .call(heartbeat, CALL_TIMEOUT_MS, ATTEMPT_TIMEOUT_MS)
        .thenAcceptAsync(result -> onAnswer(result, report), eventLoop);
  }

  void onAnswer(Result<Message, GroupCallError> result, SentReport report) {
    boolean answered = result.isOk() && result.value() instanceof FleetUpdate;
    freshness.onReportEnded(report.sent());
    if (answered != connected) {
      connected = answered;
      EventCode code = answered ? EventCode.COORDINATORS_REACHED : EventCode.COORDINATORS_LOST;
      String detail = answered ? coordinators.leaderAddress() : String.valueOf(reason(result));
      EVENTS.log(code, "detail", detail);
    }
    if (answered) {
      reportInterval.onAnswered(System.nanoTime());
      FleetUpdate update = (FleetUpdate) result.value();
      if (update.isLastKnown()) {
        onLastKnown(update);
      } else if (!freshness.isOvertaken(report.sent()) && continuesList(update.engines(), report)) {
        onLeaderAnswered(update, report.sent());
      }
    }
  }

  private void onLeaderAnswered(FleetUpdate update, Moment sent) {
    boolean hasList = isListOfLeader(update.engines());
    boolean missedViews = hasList && !areEnginesConfirmedWithin(maxViewGapMs);
    freshness.onLeaderAnswered(sent);
    if (hasList) {
      freshness.onEnginesConfirmed(sent);
    }
    contentionListener.accept(update.contendedTenants());
    suspectedPartsListener.accept(update.suspectedParts());
    applyUpdate(update);
    if (missedViews) {
      missedViewsListener.accept(view());
    }
  }

  /**
   * Whether the list of engines continues the present one. After another answer has brought the
   * list of another leader, nothing tells which of the two leaders is the newer one.
   */
  private boolean continuesList(EngineListDelta engines, SentReport report) {
    return engines == null || report.engineEpoch() == engineEpoch || engines.epoch() == engineEpoch;
  }

  /** A leader that has not read the list yet sends none, or the saved one. */
  private static boolean isListOfLeader(EngineListDelta engines) {
    return engines != null && engines.epoch() != FleetUpdate.NO_LEADERS_EPOCH;
  }

  /**
   * Handles the last-known state of a coordinator. Asks another one next, since this one may be cut
   * off from a leader that others know.
   */
  private void onLastKnown(FleetUpdate update) {
    coordinators.tryNextCandidate();
    freshness.onLastKnownReceived(System.nanoTime());
    if (hasNewerState(update) && !freshness.hasLeaderAnswered()) {
      applyUpdate(update);
    }
  }

  private boolean hasNewerState(FleetUpdate update) {
    boolean hasNewerZones =
        update.evacuatedZones() != null
            && update.evacuatedZones().version() > view().evacuatedZones().version();
    return hasNewerZones || (update.routes() != null && isNewer(update.routes()));
  }

  private static String reason(Result<Message, GroupCallError> result) {
    return result.isOk() ? "unexpected answer" : result.error().reason();
  }

  private void applyUpdate(FleetUpdate update) {
    boolean hasNewRoutes = update.routes() != null && isNewer(update.routes());
    RouteTable routes = hasNewRoutes ? update.routes() : view().routes();
    boolean changed = hasNewRoutes;
    changed |= applyEngines(update.engines());
    changed |= applyProcesses(update.processes());
    FleetView previous = view();
    FleetView next =
        new FleetView(
            routes,
            enginesKnown ? Map.copyOf(engines) : null,
            Map.copyOf(processes),
            update.jobsFounders(),
            update.jobsGroups(),
            update.assignedGroup(),
            update.leavingMembers(),
            mergeQuarantine(update),
            mergeEvacuatedZones(
                previous.evacuatedZones(), update.evacuatedZones(), update.isLastKnown()),
            update.jobsGroupRegions(),
            update.retiredOrigins(),
            update.joiningOriginsAfter(previous.joiningOrigins()));
    if (!changed && next.equals(previous)) {
      return;
    }
    if (hasNewRoutes) {
      boolean fromLeader = !update.isLastKnown();
      EVENTS.log(EventCode.ROUTES_UPDATED, "version", routes.version(), "from_leader", fromLeader);
    }
    if (!next.evacuatedZones().equals(previous.evacuatedZones())) {
      logEvacuatedZones(next.evacuatedZones(), !update.isLastKnown());
    }
    view.publish(next);
    changeListener.accept(next);
  }

  private static void logEvacuatedZones(EvacuatedZones zones, boolean fromLeader) {
    EVENTS.log(
        EventCode.EVACUATED_ZONES_UPDATED,
        "version",
        zones.version(),
        "zones",
        zones.zones(),
        "from_leader",
        fromLeader);
  }

  /**
   * Returns the received list unless it is a saved one that is not newer: coordinators may have
   * saved different ones.
   */
  private QuarantineList mergeQuarantine(FleetUpdate update) {
    QuarantineList current = view().quarantine();
    QuarantineList received = update.quarantine();
    boolean keepsCurrent =
        received == null || (update.isLastKnown() && received.version() <= current.version());
    return keepsCurrent ? current : received;
  }

  /** Returns the received zones unless they are saved ones that are not newer. */
  static EvacuatedZones mergeEvacuatedZones(
      EvacuatedZones current, EvacuatedZones received, boolean isSaved) {
    boolean keepsCurrent = received == null || (isSaved && received.version() <= current.version());
    return keepsCurrent ? current : received;
  }

  private boolean isNewer(RouteTable routes) {
    RouteTable current = view().routes();
    return current == null || routes.version() > current.version();
  }

  private boolean applyEngines(EngineListDelta delta) {
    if (delta == null) {
      return false;
    }
    boolean changed = delta.full() || !delta.changed().isEmpty() || !delta.removed().isEmpty();
    if (delta.full()) {
      engines.clear();
    }
    delta.changed().forEach(engine -> engines.put(engine.id(), engine));
    delta.removed().forEach(engines::remove);
    if (engineEpoch != delta.epoch()) {
      newLeaderListener.run();
    }
    engineEpoch = delta.epoch();
    engineSequence = delta.sequence();
    enginesKnown = true;
    return changed;
  }

  private boolean applyProcesses(ProcessListDelta delta) {
    if (delta == null) {
      return false;
    }
    boolean changed = delta.full() || !delta.changed().isEmpty() || !delta.removed().isEmpty();
    if (delta.full()) {
      processes.clear();
    }
    delta.changed().forEach(process -> processes.put(process.name(), process));
    delta.removed().forEach(processes::remove);
    processEpoch = delta.epoch();
    processSequence = delta.sequence();
    return changed;
  }

  @Override
  public void close() {
    closed = true;
  }
}
