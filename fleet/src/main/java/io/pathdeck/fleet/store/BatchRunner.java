package io.pathdeck.fleet.store;

import io.netty.channel.EventLoop;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineLoadClient;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.NettyEngineTransport;
import io.pathdeck.fleet.engine.ResponseMemory;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.quarantine.CrashSuspects;
import io.pathdeck.fleet.quarantine.EngineCrashReporter;
import io.pathdeck.fleet.quarantine.QuarantiningTransport;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.DiscardBatchProgress;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.RecordItemCrashes;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.state.BatchStateMachine;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;

/**
 * Runs the items of batch jobs on engines while this store leads the group; confined to the
 * consensus thread.
 *
 * <p>An item is done only once its result is committed. Every {@value #RECORD_INTERVAL_MS} ms the
 * leader records the events of running items in the replicated state, so that a new leader resumes
 * after them. Only the leader knows which items run on which engines. Every proposal names the
 * event before its first one, and the state machine accepts it only if that event is the last
 * recorded one. If it rejects a proposal, the item restarts after the recorded events.
 */
final class BatchRunner {
  private static final long SCHEDULE_INTERVAL_MS = 20;
  private static final long WAITS_INTERVAL_MS = 1_000;
  private static final long GIVE_UP_MARGIN_MS = 500;
  private static final long RECORD_INTERVAL_MS = 700;

  /**
   * Longer than the report interval, so that an engine does not look free before its next report.
   */
  private static final long REPORT_HALF_LIFE_MS = 500;

  /**
   * Events that are not drained, not proposed, and not committed yet may each take an eighth of the
   * heap.
   */
  private static final int EVENT_HEAP_PARTS = 8;

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final ControllerClock clock;
  private final EventLoop eventLoop;
  private final NettyEngineTransport connections;
  private final QuarantiningTransport transport;
  private final Executor consensusExecutor;
  private final LoadPolls loadPolls;
  private final BooleanSupplier engineListIsRecent;
  private final EngineTable engines;
  private final ItemSlack slack;
  private final ItemScheduler scheduler;
  private final ItemRuns runs = new ItemRuns();
  private final ProgressRecorder recorder =
      new ProgressRecorder(
          Runtime.getRuntime().maxMemory() / EVENT_HEAP_PARTS, this::propose, this::dropEvents);
  private final ItemWaits waits = new ItemWaits();
  private final ResponseMemory eventMemory = ResponseMemory.ofHeap(EVENT_HEAP_PARTS);
  private FleetView view = FleetView.EMPTY;
  private long term;
  private long nextScheduleMs;
  private long nextWaitsMs;
  private long nextRecordMs;

  /**
   * Creates a runner that starts items only while {@code engineListIsRecent} and handles outcomes
   * and load reports on {@code consensusExecutor}.
   */
  BatchRunner(
      GroupRuntime group,
      BatchStateMachine state,
      ControllerClock clock,
      EventLoop eventLoop,
      NettyEngineTransport connections,
      EngineProtocol protocol,
      EngineCrashReporter reporter,
      EngineLoadBalancer loadBalancer,
      EngineEligibility eligibility,
      BooleanSupplier engineListIsRecent,
      Executor consensusExecutor) {
    this.group = group;
    this.state = state;
    this.engines = new EngineTable(REPORT_HALF_LIFE_MS, eligibility);
    this.slack = new ItemSlack(state::logTimeMs);
    this.scheduler = new ItemScheduler(engines, loadBalancer, slack);
    this.clock = clock;
    this.eventLoop = eventLoop;
    EngineLivenessProbe livenessProbe = new EngineLivenessProbe(eventLoop, connections, protocol);
    this.connections = connections;
    this.transport =
        new QuarantiningTransport(
            connections,
            protocol,
            livenessProbe,
            reporter,
            CrashSuspects.PROMPT_PARTS,
            eventLoop,
            engine -> consensusExecutor.execute(() -> onEngineDown(engine)));
    connections.setIdleLossListener(
        engine -> consensusExecutor.execute(() -> onIdleLoss(engine, eligibility)));
    this.engineListIsRecent = engineListIsRecent;
    this.consensusExecutor = consensusExecutor;
    EngineLoadClient loadClient =
        new EngineLoadClient(
            transport,
            protocol,
            (engineId, load, coldLeftMs) ->
                consensusExecutor.execute(() -> onReport(engineId, load, coldLeftMs)));
    this.loadPolls = new LoadPolls(engine -> eventLoop.execute(() -> loadClient.fetch(engine)));
  }

  private void onEngineDown(EngineInstance engine) {
    long nowMs = clock.monotonicMs();
    engines.onDown(engine, nowMs);
    List<ItemCrashes> crashes =
        runs.all().stream()
            .filter(run -> RetryPolicy.onEngineCrashed(run, engine, nowMs))
            .map(ItemRun::crashes)
            .toList();
    if (!crashes.isEmpty()) {
      propose(new RecordItemCrashes(crashes), List.of());
    }
  }

  private void onIdleLoss(EngineInstance engine, EngineEligibility eligibility) {
    if (eligibility.coldStartLimit().appliesTo(engine)) {
      eventLoop.execute(() -> transport.checkEngine(engine));
    }
  }

  /** Applies a new view of the fleet. */
  void onChange(FleetView newView) {
    view = newView;
    engines.eligibility().setEvacuatedZones(newView.evacuatedZones());
    eventLoop.execute(() -> transport.updateQuarantine(newView.quarantine()));
    if (newView.engines() != null) {
      engines.update(newView.engines());
      eventLoop.execute(() -> connections.onListed(newView.engines()));
    }
  }

  /** Applies the parts of prompts that the leading coordinator asks about; on the event loop. */
  void onSuspectedParts(List<RequestFingerprint> parts) {
    transport.updateSuspectedParts(parts);
  }

  void onStep(long nowMs) {
    boolean sameTerm = group.isLeading() && group.replica().term() == term;
    if (!sameTerm) {
      stopAll();
      term = group.replica().term();
      scheduler.setLeaderSince(nowMs);
    }
    if (!group.isLeading() || nowMs < nextScheduleMs) {
      return;
    }
    nextScheduleMs = nowMs + SCHEDULE_INTERVAL_MS;
    runs.update(state.jobs(), this::stop, nowMs, state.logTimeMs());
    abortStalledStreams(nowMs);
    giveUpExpiredItems(nowMs);
    recorder.boundMemory(runs.all());
    recordProgress(nowMs);
    if (view.isComplete()) {
      boolean itemsWait = runs.all().stream().anyMatch(run -> run.mayStart(nowMs));
      loadPolls.onStep(engines.all(), itemsWait, nowMs);
      if (engineListIsRecent.getAsBoolean()) {
        scheduler.itemsToBeginAnew(runs.all(), view, nowMs).forEach(this::beginAnewElsewhere);
        scheduler.startItems(runs.all(), view, this::startOn, nowMs);
        scheduler
            .itemToMove(runs.all(), view, nowMs)
            .map(ItemRun::stream)
            .ifPresent(stream -> eventLoop.execute(stream::leaveEngine));
      } else {
        runs.all().forEach(run -> run.setSchedulerReason(WaitReason.ENGINE_LIST_NOT_RECENT));
      }
    }
    measureWaits(nowMs);
  }

  private void measureWaits(long nowMs) {
    runs.all().forEach(run -> run.observeWait(nowMs));
    if (nowMs >= nextWaitsMs) {
      nextWaitsMs = nowMs + WAITS_INTERVAL_MS;
      waits.update(runs.all(), run -> hasRoom(run, nowMs), nowMs);
    }
  }

  private boolean hasRoom(ItemRun run, long nowMs) {
    return view.isComplete() && scheduler.hasRoom(run, view, nowMs);
  }

  /** Returns the items that wait for this reason; safe from any thread. */
  ItemWaits.Count waiting(WaitReason reason) {
    return waits.count(reason);
  }

  private void onReport(String engineId, EngineLoadReport load, long coldLeftMs) {
    EngineState engine = engines.find(engineId);
    if (engine == null) {
      return;
    }
    long nowMs = clock.monotonicMs();
    engine.onLifeReported(load.bornMs(), nowMs);
    if (engine.instance().isOtherLife(load.bornMs())) {
      return;
    }
    engine.onLoadReport(load, nowMs);
    if (coldLeftMs != EngineResponse.COLD_UNKNOWN) {
      engine.onColdTold(coldLeftMs, nowMs);
    }
    scheduler.itemsToYield(runs.all(), engine, load, nowMs).stream()
        .map(ItemRun::stream)
        .forEach(stream -> eventLoop.execute(stream::yieldSlot));
  }

  private void stopAll() {
    runs.all().forEach(this::stop);
    runs.clear();
    recorder.clear();
    waits.clear();
  }

  private void stop(ItemRun run) {
    if (run.isRunning()) {
      ItemStream stream = run.stream();
      run.engine().onEnd();
      run.onStop(clock.monotonicMs());
      eventLoop.execute(stream::cancel);
    }
  }

  private void abortStalledStreams(long nowMs) {
    for (ItemRun run : runs.all()) {
      if (run.isRunning()) {
        run.stream().stall(nowMs).ifPresent(reason -> abort(run, reason, nowMs));
      }
    }
  }

  private void abort(ItemRun run, String reason, long nowMs) {
    ItemStream stream = run.stream();
    run.engine().onFailure(nowMs, RetryPolicy.MAX_ENGINE_PAUSE_MS);
    if (stream.isOver()) {
      // A full queue of the consensus thread may have dropped the outcome.
      stop(run);
    } else {
      eventLoop.execute(() -> stream.abort(reason));
    }
  }

  // ---- progress

  /** Proposes the events received since the last call, and requests newer ones from the streams. */
  private void recordProgress(long nowMs) {
    if (nowMs < nextRecordMs || !recorder.mayRecord()) {
      return;
    }
    nextRecordMs = nowMs + RECORD_INTERVAL_MS;
    recorder.record(runs.all());
    runs.all().stream().filter(ItemRun::isRunning).forEach(this::requestEvents);
  }

  /** Lets an item go on after its last proposed event. */
  private void dropEvents(ItemRun run) {
    long nowMs = clock.monotonicMs();
    if (run.isRunning()) {
      run.engine().onFailure(nowMs, RetryPolicy.MAX_ENGINE_PAUSE_MS);
      stop(run);
    }
    run.dropUnrecorded();
    ItemLog.restarted(run, run.lastEvent());
    RetryPolicy.delayAfterEviction(run, nowMs);
  }

  private void requestEvents(ItemRun run) {
    ItemStream stream = run.stream();
    long expectedTerm = term;
    eventLoop.execute(
        () ->
            stream.drainEvents(
                events ->
                    consensusExecutor.execute(() -> onEvents(run, stream, expectedTerm, events))));
  }

  private void onEvents(ItemRun run, ItemStream stream, long expectedTerm, ItemEvents events) {
    if (expectedTerm != term || run.stream() != stream) {
      return;
    }
    if (!run.appendEvents(events)) {
      restart(run);
    } else {
      updatePace(run, clock.monotonicMs());
    }
  }

  private void updatePace(ItemRun run, long nowMs) {
    slack.onEvents(run, nowMs);
    EngineState engine = run.engine();
    run.setRelativePace(engines.pace(engine.instance().service(), nowMs).relativePace(engine));
  }

  /** Restarts an item after its last recorded event. */
  private void restart(ItemRun run) {
    stop(run);
    runs.remove(run);
    long recordedEvent = run.job.progress(run.item.id()).lastEvent();
    ItemLog.restarted(run, recordedEvent);
  }

  private void beginAnewElsewhere(ItemRun run) {
    discardProgress(run, "no engine of its software version takes it");
  }

  /** Lets an item begin anew once its recorded events are discarded. */
  private void discardProgress(ItemRun run, String reason) {
    ItemLog.beginsAnew(run, reason);
    run.awaitDiscard();
    Command command = new DiscardBatchProgress(run.job.submission().jobId(), run.item.id());
    propose(command, run::beginAnew, () -> restart(run));
  }

  /** Proposes a command; restarts the affected items if it is rejected. */
  private void propose(Command command, List<ItemRun> affectedRuns) {
    propose(command, affectedRuns, () -> {});
  }

  private void propose(Command command, List<ItemRun> affectedRuns, Runnable onAnswered) {
    Runnable onRejected =
        () -> {
          onAnswered.run();
          affectedRuns.forEach(this::restart);
        };
    propose(command, onAnswered, onRejected);
  }

  private void propose(Command command, Runnable onAccepted, Runnable onRejected) {
    long expectedTerm = term;
    group.propose(
        "",
        0,
        command,
        reply -> {
          if (expectedTerm != term) {
            return;
          }
          if (reply instanceof ProposeReply proposed && proposed.result() instanceof Done) {
            onAccepted.run();
          } else {
            onRejected.run();
          }
        },
        clock);
  }

  private void giveUpExpiredItems(long nowMs) {
    for (ItemRun run : runs.copy()) {
      long ageMs = run.minAgeMs(nowMs);
      long retainMs = run.job.submission().retainMs();
      if (!run.isFinished() && retainMs > 0 && ageMs > retainMs + GIVE_UP_MARGIN_MS) {
        stop(run);
        giveUp(run, "given up after " + ageMs + " ms");
      }
    }
  }

  // ---- starting items

  private void startOn(ItemRun run, EngineState engine, double relativePace) {
    long nowMs = clock.monotonicMs();
    long slackMs = slack.slackMs(run, relativePace, nowMs);
    long expectedTerm = term;
    ItemStream[] streamHolder = new ItemStream[1];
    ItemStream stream =
        new ItemStream(
            StreamOrigin.of(engine.instance()),
            run.lastEvent(),
            run.remainingLength(),
            eventMemory,
            outcome ->
                consensusExecutor.execute(
                    () -> onOutcome(run, streamHolder[0], expectedTerm, outcome)));
    streamHolder[0] = stream;
    ItemLog.started(run, engine, relativePace, run.dueMs() - state.logTimeMs(), slackMs, nowMs);
    run.onStart(stream, engine, relativePace, nowMs);
    engine.onStart(nowMs);
    EngineCall call = ItemCalls.call(run, engine.instance(), view.routes().requiresKeys());
    eventLoop.execute(() -> stream.start(transport, call));
  }

  // ---- outcomes

  private void onOutcome(ItemRun run, ItemStream stream, long expectedTerm, ItemOutcome outcome) {
    if (expectedTerm != term || run.stream() != stream) {
      return;
    }
    long nowMs = clock.monotonicMs();
    EngineState engine = run.engine();
    long attemptMs = run.attemptMs(nowMs);
    engine.onEnd();
    run.onStop(nowMs);
    if (!run.appendEvents(outcome.events())) {
      restart(run);
      return;
    }
    if (outcome.kind() == ItemOutcome.Kind.DONE) {
      onItemCompleted(run, nowMs);
      return;
    }
    ItemLog.retried(run, engine, outcome, attemptMs);
    boolean isImpossible = outcome.kind() == ItemOutcome.Kind.IMPOSSIBLE;
    switch (RetryPolicy.apply(run, engine, outcome, nowMs)) {
      case GIVE_UP -> giveUp(run, isImpossible ? "impossible" : "failed on every attempt");
      case BEGIN_ANEW -> discardProgress(run, outcome.reason());
      default -> {}
    }
  }

  private void onItemCompleted(ItemRun run, long nowMs) {
    slack.onItemCompleted(run, nowMs);
    proposeOutcome(run, run.finishCompleted(), "whole");
  }

  private void giveUp(ItemRun run, String reason) {
    proposeOutcome(run, run.finishGivenUp(), reason);
  }

  private void proposeOutcome(ItemRun run, BatchOutcome outcome, String reason) {
    long ageMs = state.logTimeMs() - run.job.submittedAtMs();
    ItemLog.listed(run, outcome.done(), reason, ageMs, run.knownMs(clock.monotonicMs()));
    propose(new ListBatchResults(run.job.submission().jobId(), List.of(outcome)), List.of(run));
  }
}
