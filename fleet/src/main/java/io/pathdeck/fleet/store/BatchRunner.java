package io.pathdeck.fleet.store;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.engine.EngineChoice;
import io.pathdeck.fleet.engine.EngineReports;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.TrafficSplit;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.state.BatchJob;
import io.pathdeck.state.BatchStateMachine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * Runs the items of batch jobs on engines while this store leads the group; on the thread of the
 * consensus duty.
 *
 * <p>Only a committed result makes an item done. What runs and how far it came is not replicated: a
 * new leader starts the open items anew.
 */
final class BatchRunner {
  private static final EventLog EVENTS = EventLog.of(BatchRunner.class);
  private static final long SCHEDULE_INTERVAL_MS = 20;
  private static final long REPORT_INTERVAL_MS = 300;
  private static final long YIELD_PAUSE_MS = 400;
  private static final long SILENCE_MS = 1_500;
  private static final long FAILURE_PAUSE_MS = 150;
  private static final long GIVE_UP_MARGIN_MS = 500;

  private record ItemKey(String jobId, String itemId) {}

  private final GroupRuntime group;
  private final BatchStateMachine state;
  private final ControllerClock clock;
  private final EventLoop eventLoop;
  private final EngineTransport transport;
  private final EngineChoice choice;
  private final Executor consensus;
  private final EngineReports reports;
  private final BatchWindow window = new BatchWindow();
  private final EngineTable engines = new EngineTable();
  private final TrafficSplit split = new TrafficSplit();
  private final Map<ItemKey, ItemRun> runs = new HashMap<>();
  private FleetView view = FleetView.UNKNOWN;
  private long term;
  private long nextScheduleMs;
  private long nextReportsMs;

  /** Creates a runner; {@code consensus} runs actions on the consensus duty's thread. */
  BatchRunner(
      GroupRuntime group,
      BatchStateMachine state,
      ControllerClock clock,
      EventLoop eventLoop,
      EngineTransport transport,
      EngineProtocol protocol,
      EngineChoice choice,
      Executor consensus) {
    this.group = group;
    this.state = state;
    this.clock = clock;
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.choice = choice;
    this.consensus = consensus;
    this.reports =
        new EngineReports(
            transport,
            protocol,
            (engineId, load) -> consensus.execute(() -> onReport(engineId, load)));
  }

  /** Follows what is known of the fleet. */
  void onChange(FleetView changed) {
    view = changed;
    if (changed.engines() != null) {
      engines.update(changed.engines());
    }
  }

  void onStep(long nowMs) {
    boolean sameTerm = group.isLeading() && group.replica().term() == term;
    if (!sameTerm) {
      stopAll();
      term = group.replica().term();
    }
    if (!group.isLeading() || nowMs < nextScheduleMs) {
      return;
    }
    nextScheduleMs = nowMs + SCHEDULE_INTERVAL_MS;
    follow();
    checkSilence(nowMs);
    giveUpExpired();
    if (view.isComplete()) {
      askForReports(nowMs);
      startItems(nowMs);
    }
  }

  /** While there are items, what online requests take of the engines must be known. */
  private void askForReports(long nowMs) {
    if (nowMs < nextReportsMs) {
      return;
    }
    nextReportsMs = nowMs + REPORT_INTERVAL_MS;
    boolean waiting = runs.values().stream().anyMatch(run -> run.mayStart(nowMs));
    for (EngineState engine : engines.all()) {
      boolean concerned = waiting || engine.inFlight() > 0;
      if (concerned && !engine.isLeaving()) {
        EngineInstance instance = engine.instance();
        eventLoop.execute(() -> reports.ask(instance));
      }
    }
  }

  private void onReport(String engineId, EngineLoadReport load) {
    EngineState engine = engines.find(engineId);
    if (engine == null) {
      return;
    }
    engine.onLoad(load, clock.monotonicMs());
    int yields = window.yields(load);
    if (yields > 0) {
      yieldItems(engine, yields);
    }
  }

  /** Stops items of an engine on which requests wait, those that are due last first. */
  private void yieldItems(EngineState engine, int count) {
    runs.values().stream()
        .filter(run -> run.isRunning() && run.engine() == engine)
        .filter(run -> window.mayYield(run.dueMs() - state.timeMs()))
        .sorted(Comparator.comparingLong(ItemRun::dueMs).reversed())
        .limit(count)
        .map(ItemRun::stream)
        .toList()
        .forEach(stream -> eventLoop.execute(stream::yieldSlot));
  }

  private void stopAll() {
    runs.values().forEach(this::stop);
    runs.clear();
  }

  private void stop(ItemRun run) {
    if (run.isRunning()) {
      ItemStream stream = run.stream();
      run.engine().onEnd();
      run.onStop();
      eventLoop.execute(stream::cancel);
    }
  }

  /** Follows the jobs: forgets items that have a result, stops those of ended jobs. */
  private void follow() {
    runs.entrySet()
        .removeIf(
            entry -> {
              ItemRun run = entry.getValue();
              boolean open = run.job.open().containsKey(entry.getKey().itemId());
              boolean over = !open || run.job.isEnded();
              if (over) {
                stop(run);
              }
              return over;
            });
    for (BatchJob job : state.jobs()) {
      if (!job.isActive()) {
        continue;
      }
      for (BatchItem item : job.open().values()) {
        ItemKey key = new ItemKey(job.submission().jobId(), item.id());
        runs.computeIfAbsent(key, absent -> new ItemRun(job, item));
      }
    }
  }

  private void checkSilence(long nowMs) {
    for (ItemRun run : runs.values()) {
      if (run.isRunning() && nowMs - run.stream().lastHeardMs() > SILENCE_MS) {
        ItemStream stream = run.stream();
        run.engine().onFailure(nowMs);
        eventLoop.execute(() -> stream.breakOff("silent for " + SILENCE_MS + " ms"));
      }
    }
  }

  private void giveUpExpired() {
    for (ItemRun run : runs.values()) {
      long ageMs = state.timeMs() - run.job.submittedAtMs();
      long retainMs = run.job.submission().retainMs();
      if (!run.isDecided() && retainMs > 0 && ageMs > retainMs + GIVE_UP_MARGIN_MS) {
        stop(run);
        list(run, false, "", "given up after " + ageMs + " ms");
      }
    }
  }

  // ---- starting items

  private void startItems(long nowMs) {
    List<ItemRun> waiting = new ArrayList<>();
    for (ItemRun run : runs.values()) {
      if (run.mayStart(nowMs)) {
        waiting.add(run);
      }
    }
    waiting.sort(Comparator.comparingLong(ItemRun::dueMs));
    Set<String> fullServices = new HashSet<>();
    for (ItemRun run : waiting) {
      Optional<RouteSpec> route = view.routes().match(run.job.submission().host(), run.item.path());
      if (route.isEmpty()) {
        continue;
      }
      String service = split.next(route.get());
      if (!fullServices.contains(service) && !startItem(run, service, nowMs)) {
        fullServices.add(service);
      }
    }
  }

  private boolean startItem(ItemRun run, String service, long nowMs) {
    long dueInMs = run.dueMs() - state.timeMs();
    List<EngineState> open =
        engines.usable(service, Set.of(), nowMs).stream()
            .filter(engine -> window.hasRoom(engine, dueInMs, nowMs))
            .toList();
    Optional<EngineState> chosen = choice.choose(open, 0, nowMs);
    if (chosen.isEmpty()) {
      return false;
    }
    EngineState engine = chosen.get();
    long ofTerm = term;
    ItemStream[] started = new ItemStream[1];
    ItemStream stream =
        new ItemStream(
            run.lastEventId(),
            outcome -> consensus.execute(() -> onOutcome(run, started[0], ofTerm, outcome)));
    started[0] = stream;
    EVENTS.log(
        EventCode.ITEM_STARTED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "engine",
        engine.instance().id(),
        "load",
        String.format(Locale.ROOT, "%.1f", engine.estimatedLoad(nowMs)),
        "load_age_ms",
        engine.loadAgeMs(nowMs),
        "after_event",
        run.lastEventId(),
        "due_in_ms",
        dueInMs);
    run.onStart(stream, engine);
    engine.onStart(nowMs);
    EngineCall call = call(run, engine);
    eventLoop.execute(() -> stream.start(transport, call));
    return true;
  }

  private static EngineCall call(ItemRun run, EngineState engine) {
    HttpHeaders headers = new DefaultHttpHeaders();
    run.item.headers().forEach(headers::set);
    return new EngineCall(
        engine.instance(),
        HttpMethod.POST,
        run.item.path(),
        run.job.submission().host(),
        run.item.id(),
        headers,
        run.item.body(),
        0,
        run.lastEventId());
  }

  // ---- outcomes

  private void onOutcome(ItemRun run, ItemStream stream, long ofTerm, ItemOutcome outcome) {
    if (ofTerm != term || run.stream() != stream) {
      return;
    }
    long nowMs = clock.monotonicMs();
    EngineState engine = run.engine();
    engine.onEnd();
    run.onStop();
    run.keep(outcome);
    if (outcome.load() != null) {
      engine.onLoad(outcome.load(), nowMs);
    }
    switch (outcome.kind()) {
      case DONE -> list(run, true, run.text(), "whole");
      case IMPOSSIBLE -> list(run, false, "", "impossible");
      case FAILED -> onItemFailed(run, outcome, nowMs);
      case OTHER_INSTANCE -> engine.onGone();
      case YIELDED -> {
        run.waitUntil(nowMs + YIELD_PAUSE_MS);
        logRetry(run, outcome);
      }
      case REFUSED -> {
        engine.onFull(nowMs, outcome.retryAfterMs());
        run.waitUntil(nowMs + outcome.retryAfterMs());
      }
      default -> {
        engine.onFailure(nowMs);
        logRetry(run, outcome);
      }
    }
  }

  private void onItemFailed(ItemRun run, ItemOutcome outcome, long nowMs) {
    logRetry(run, outcome);
    if (run.countFailure() >= Math.max(1, run.job.submission().maxAttempts())) {
      list(run, false, "", "failed on every attempt");
    } else {
      run.waitUntil(nowMs + FAILURE_PAUSE_MS);
    }
  }

  private static void logRetry(ItemRun run, ItemOutcome outcome) {
    EVENTS.log(
        EventCode.ITEM_RETRIED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "outcome",
        outcome.kind(),
        "reason",
        outcome.reason(),
        "after_event",
        outcome.lastEventId());
  }

  private void list(ItemRun run, boolean done, String text, String reason) {
    run.decide();
    EVENTS.log(
        EventCode.ITEM_LISTED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "done",
        done,
        "reason",
        reason,
        "age_ms",
        state.timeMs() - run.job.submittedAtMs());
    BatchResult result = new BatchResult(run.item.id(), done, text);
    ListBatchResults command = new ListBatchResults(run.job.submission().jobId(), List.of(result));
    group.propose(
        "",
        0,
        command,
        reply -> {
          if (!(reply instanceof ProposeReply)) {
            EVENTS.log(EventCode.PARTITION_UNREACHABLE, "item", run.item.id());
          }
        },
        clock);
  }
}
