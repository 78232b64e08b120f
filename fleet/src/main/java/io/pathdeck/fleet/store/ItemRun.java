package io.pathdeck.fleet.store;

import io.pathdeck.control.LogTime;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.state.BatchJob;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The leader's state of an item that has no result yet; confined to the consensus thread.
 *
 * <p>A run starts after the events recorded in the replicated state. It keeps later events, in
 * order, until the leader proposes them.
 */
final class ItemRun {
  /** A shorter run gains the item nearly nothing, so its wait goes on. */
  static final long MIN_RUN_MS = 1_000;

  /**
   * Bounds the data of an item. A frame between processes holds it even if each byte has to be
   * replaced by a character of three.
   */
  static final int MAX_DATA_LENGTH = 4 * 1024 * 1024;

  final BatchJob job;
  final BatchItem item;
  private final long knownSinceMs;
  private final long minAgeWhenKnownMs;
  private final boolean startedAtFirstEvent;
  private final long inheritedEvents;
  private String unrecordedData = EventData.NONE;
  private int recordedLength;
  private long recordedEvent;
  private long lastEvent;
  private StreamOrigin origin;
  private boolean mayLackData;
  private boolean discarding;
  private int failures;
  private int unclearResponses;
  private int tooLongRuns;
  private long notBeforeMs;
  private WaitReason delayReason = WaitReason.RETRY_DELAY;
  private long normalizedRunMs;
  private long startedMs;
  private boolean finished;
  private long waitingSinceMs;
  private int shortRuns;
  private final Set<String> triedEngineIds = new HashSet<>();
  private final CrashBackoff crashBackoff;
  private final WaitTimes waitTimes;
  private long reportedWaitMs;
  private WaitReason schedulerReason = WaitReason.NOT_EXAMINED;

  /** The current attempt; null, like {@link #engine}, if the item does not run. */
  private ItemStream stream;

  private EngineState engine;

  private double relativePace = 1;

  private long paceSampleEvent;
  private long paceSampleMs;

  /**
   * Creates the run of an item that this leader first sees at {@code nowMs} by its monotonic clock
   * and at {@code logTimeMs} in log time.
   */
  ItemRun(BatchJob job, BatchItem item, long nowMs, long logTimeMs) {
    this.job = job;
    this.item = item;
    this.knownSinceMs = nowMs;
    this.waitingSinceMs = nowMs;
    this.waitTimes = new WaitTimes(nowMs);
    this.minAgeWhenKnownMs = (logTimeMs - job.submittedAtMs()) / LogTime.MAX_RATE;
    this.recordedLength = job.progress(item.id()).data().length();
    this.recordedEvent = job.progress(item.id()).lastEvent();
    this.origin = job.progress(item.id()).origin();
    this.mayLackData = job.progress(item.id()).mayLackData();
    this.lastEvent = recordedEvent;
    this.startedAtFirstEvent = recordedEvent == BatchProgress.NO_EVENT;
    this.inheritedEvents = recordedEvent - BatchProgress.NO_EVENT;
    this.crashBackoff = new CrashBackoff(job.crashes(item.id()));
    long sinceCrashMs = Math.max(0, logTimeMs - job.lastCrashMs(item.id()));
    long crashDelayMs = crashBackoff.delayMs() - sinceCrashMs;
    waitUntil(nowMs + Math.max(0, crashDelayMs), WaitReason.CRASH_BACKOFF);
  }

  /** When the item is due, in log time. */
  long dueMs() {
    return job.submittedAtMs() + job.submission().runTargetMs();
  }

  /** When the item may be given up, in log time; {@link Long#MAX_VALUE} if never. */
  long expiryMs() {
    long retainMs = job.submission().retainMs();
    return retainMs == 0 ? Long.MAX_VALUE : job.submittedAtMs() + retainMs;
  }

  boolean mayStart(long nowMs) {
    return stream == null && !finished && !discarding && nowMs >= notBeforeMs;
  }

  boolean isRunning() {
    return stream != null;
  }

  ItemStream stream() {
    return stream;
  }

  EngineState engine() {
    return engine;
  }

  void onStart(ItemStream newStream, EngineState newEngine, double newRelativePace, long nowMs) {
    stream = newStream;
    engine = newEngine;
    relativePace = newRelativePace;
    startedMs = nowMs;
    paceSampleEvent = lastEvent;
  }

  void onStop(long nowMs) {
    normalizedRunMs = normalizedRunMs(nowMs);
    stream = null;
    engine = null;
    relativePace = 1;
    schedulerReason = WaitReason.NOT_EXAMINED;
    shortRuns++;
    if (nowMs - startedMs >= MIN_RUN_MS) {
      shortRuns = 0;
      triedEngineIds.clear();
      waitingSinceMs = nowMs;
      waitTimes.clear(nowMs);
      reportedWaitMs = 0;
    }
  }

  /**
   * Returns for how long the item has been at no engine, leaving aside runs of less than {@value
   * #MIN_RUN_MS} ms; 0 while it runs.
   */
  long waitMs(long nowMs) {
    return isRunning() ? 0 : nowMs - waitingSinceMs;
  }

  /** Returns how many runs of less than {@value #MIN_RUN_MS} ms the present wait includes. */
  int shortRuns() {
    return shortRuns;
  }

  /** Records that an engine did not run the item. */
  void markTried(EngineInstance tried) {
    triedEngineIds.add(tried.lifeId());
  }

  /** Whether the engine did not run the item when it was tried in the present wait. */
  boolean hasTried(EngineInstance candidate) {
    return triedEngineIds.contains(candidate.lifeId());
  }

  /** The delay after crashes of the engines that ran the item. */
  CrashBackoff crashBackoff() {
    return crashBackoff;
  }

  /** Returns why the item is at no engine. */
  WaitReason waitReason(long nowMs) {
    if (finished) {
      return WaitReason.NOT_LISTED;
    }
    if (discarding) {
      return WaitReason.DISCARDING;
    }
    return nowMs < notBeforeMs ? delayReason : schedulerReason;
  }

  /** Sets why the scheduler did not start the item. */
  void setSchedulerReason(WaitReason reason) {
    schedulerReason = reason;
  }

  /** Records for which reason the item waits, if it does; called in each step of the leader. */
  void observeWait(long nowMs) {
    if (isRunning()) {
      waitTimes.skip(nowMs);
    } else {
      waitTimes.add(waitReason(nowMs), nowMs);
    }
  }

  /** The reasons of the present wait. */
  WaitTimes waitTimes() {
    return waitTimes;
  }

  boolean isWaitReported() {
    return reportedWaitMs > 0;
  }

  /** How long the present wait was when it was last reported; 0 if it was not. */
  long reportedWaitMs() {
    return reportedWaitMs;
  }

  /** Marks the present wait as reported. */
  void markWaitReported(long waitMs) {
    reportedWaitMs = waitMs;
  }

  /**
   * Returns the total run time since this store became leader. The time on each engine is divided
   * by its relative pace.
   */
  long normalizedRunMs(long nowMs) {
    return normalizedRunMs + (stream == null ? 0 : Math.round((nowMs - startedMs) / relativePace));
  }

  /**
   * Returns the run time on the current engine relative to an engine of median pace; 1 if the item
   * does not run.
   */
  double relativePace() {
    return relativePace;
  }

  void setRelativePace(double newRelativePace) {
    relativePace = newRelativePace;
  }

  private void reportEnginePace() {
    EngineLoadReport load = stream.load();
    if (load != null && load.pacePercent() != EngineLoadReport.PACE_UNKNOWN) {
      engine.pace().onPaceReport(load.pacePercent(), stream.headReceivedMs());
    }
  }

  /** Receives the time that an engine of median pace would have taken for some events. */
  interface EventTimeListener {
    void onEvents(long events, long normalizedMs);
  }

  /**
   * The number of events recorded before this run began. Without them, a nearly complete item would
   * look urgent after each change of leader.
   */
  long inheritedEvents() {
    return inheritedEvents;
  }

  /**
   * Records that the engine is alive, and the time per event since the last call in its pace, and
   * passes it to {@code eventTimes}. The first events of an attempt only start a sample, because
   * the time before them includes queueing and prefill.
   */
  void reportPace(long nowMs, EventTimeListener eventTimes) {
    if (engine == null || lastEvent <= paceSampleEvent) {
      return;
    }
    engine.onDataReceived(nowMs);
    if (paceSampleMs <= startedMs) {
      reportEnginePace();
    } else {
      long events = lastEvent - paceSampleEvent;
      long spanMs = nowMs - paceSampleMs;
      engine.pace().onStream(events, spanMs, nowMs);
      eventTimes.onEvents(events, Math.round(spanMs / relativePace));
    }
    paceSampleEvent = lastEvent;
    paceSampleMs = nowMs;
  }

  /** Whether this store has run the item from its first event. */
  boolean startedAtFirstEvent() {
    return startedAtFirstEvent;
  }

  /** The engines at which the item can go on; empty if it has no events yet. */
  Optional<StreamOrigin> origin() {
    return lastEvent == BatchProgress.NO_EVENT ? Optional.empty() : Optional.of(origin);
  }

  /** Whether lines may be missing in the recorded events, so that the item has to begin anew. */
  boolean mayLackData() {
    return mayLackData;
  }

  /** Returns how much more data the item may have. */
  int remainingLength() {
    return Math.max(0, MAX_DATA_LENGTH - recordedLength - unrecordedData.length());
  }

  /** Returns how much data is not proposed yet; a result takes the rest with it. */
  int unrecordedLength() {
    return finished ? 0 : unrecordedData.length();
  }

  /** Drops the events that are not proposed yet. */
  void dropUnrecorded() {
    lastEvent = recordedEvent;
    unrecordedData = EventData.NONE;
  }

  /** Drops later events, and keeps the item from starting until the recorded ones are discarded. */
  void awaitDiscard() {
    discarding = true;
    dropUnrecorded();
  }

  /** Forgets all events, so that any engine may run the item from its beginning. */
  void beginAnew() {
    discarding = false;
    mayLackData = false;
    recordedLength = 0;
    recordedEvent = BatchProgress.NO_EVENT;
    lastEvent = BatchProgress.NO_EVENT;
    unrecordedData = EventData.NONE;
  }

  /**
   * Appends events; returns false if they do not follow the last known event or come from another
   * origin.
   */
  boolean appendEvents(ItemEvents events) {
    if (events.isEmpty()) {
      return true;
    }
    boolean hasSameOrigin = origin().map(events.origin()::equals).orElse(true);
    if (events.afterEvent() != lastEvent || !hasSameOrigin) {
      return false;
    }
    origin = events.origin();
    unrecordedData += events.data();
    lastEvent = events.lastEvent();
    crashBackoff.onEvents();
    return true;
  }

  /** Returns the crashes of engines under the item, for the replicated state. */
  ItemCrashes crashes() {
    return new ItemCrashes(job.submission().jobId(), item.id(), crashBackoff.crashes());
  }

  long lastEvent() {
    return lastEvent;
  }

  /** Returns the events not proposed yet, if any, and counts them as recorded. */
  Optional<BatchProgress> takeUnrecorded() {
    if (lastEvent == recordedEvent || finished) {
      return Optional.empty();
    }
    String jobId = job.submission().jobId();
    BatchProgress progress =
        new BatchProgress(
            jobId, item.id(), origin, recordedEvent, lastEvent, unrecordedData, mayLackData);
    recordedEvent = lastEvent;
    recordedLength += unrecordedData.length();
    unrecordedData = EventData.NONE;
    return Optional.of(progress);
  }

  /** Marks the item as completed and returns its outcome. */
  BatchOutcome finishCompleted() {
    finished = true;
    return new BatchOutcome(item.id(), true, recordedEvent, unrecordedData);
  }

  /** Marks the item as given up and returns its outcome. */
  BatchOutcome finishGivenUp() {
    finished = true;
    return BatchOutcome.givenUp(item.id());
  }

  /** Returns for how long this leader has known the item. */
  long knownMs(long nowMs) {
    return nowMs - knownSinceMs;
  }

  /**
   * Returns a lower bound of the time since submission. Log time runs too fast while it catches up
   * after an outage, so an age in log time alone would give items up too early: after an outage of
   * 4 s, an item that may be given up after 3 s was given up after 2.2 s.
   */
  long minAgeMs(long nowMs) {
    return minAgeWhenKnownMs + knownMs(nowMs);
  }

  /** Returns for how long the current attempt has run; 0 if there is none. */
  long attemptMs(long nowMs) {
    return stream == null ? 0 : nowMs - startedMs;
  }

  int failures() {
    return failures;
  }

  int countFailure() {
    return ++failures;
  }

  /** Counts an unclear response and returns their number so far. */
  int countUnclearResponse() {
    return ++unclearResponses;
  }

  /** Counts a run that brought too much data and returns their number so far. */
  int countTooLongRun() {
    return ++tooLongRuns;
  }

  /** Delays the next attempt. */
  void waitUntil(long untilMs, WaitReason reason) {
    notBeforeMs = untilMs;
    delayReason = reason;
  }

  boolean isFinished() {
    return finished;
  }
}
