package io.pathdeck.fleet.store;

import io.pathdeck.control.LogTime;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.state.BatchJob;
import io.pathdeck.state.ItemProgress;
import java.util.Optional;

/**
 * What the leader knows of an item that has no result yet; confined to the consensus thread.
 *
 * <p>It begins after the events that are recorded in the replicated state. What further sends bring
 * is kept here until it is proposed, in the order in which it came.
 */
final class ItemRun {
  final BatchJob job;
  final BatchItem item;
  private final long knownSinceMs;
  private final long minAgeWhenKnownMs;
  private final boolean startedAtFirstEvent;
  private final long inheritedEvents;
  private String unrecordedText = "";
  private long recordedEvent;
  private long lastEvent;
  private int failures;
  private int unclearAnswers;
  private long notBeforeMs;
  private long normalizedRunMs;
  private long startedMs;
  private boolean finished;

  /** The send under way and its engine; null when there is none. */
  private ItemStream stream;

  private EngineState engine;

  /** How many times as long as usual work takes at the engine of the send under way. */
  private double relativePace = 1;

  private long paceSampleEvent;
  private long paceSampleMs;

  /**
   * Creates the run of an item.
   *
   * @param nowMs since when this store knows the item as leader, by its monotonic clock
   * @param logTimeMs the time of the log then
   */
  ItemRun(BatchJob job, BatchItem item, long nowMs, long logTimeMs) {
    this.job = job;
    this.item = item;
    this.knownSinceMs = nowMs;
    this.minAgeWhenKnownMs = (logTimeMs - job.submittedAtMs()) / LogTime.MAX_RATE;
    this.recordedEvent = job.progress(item.id()).lastEvent();
    this.lastEvent = recordedEvent;
    this.startedAtFirstEvent = recordedEvent == BatchProgress.NO_EVENT;
    this.inheritedEvents = recordedEvent - BatchProgress.NO_EVENT;
  }

  /** When the item is due, in the time of the log. */
  long dueMs() {
    return job.submittedAtMs() + job.submission().runTargetMs();
  }

  boolean mayStart(long nowMs) {
    return stream == null && !finished && nowMs >= notBeforeMs;
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

  void onStart(ItemStream started, EngineState on, double relativePaceThere, long nowMs) {
    stream = started;
    engine = on;
    relativePace = relativePaceThere;
    startedMs = nowMs;
    paceSampleEvent = lastEvent;
  }

  void onStop(long nowMs) {
    normalizedRunMs = normalizedRunMs(nowMs);
    stream = null;
    engine = null;
    relativePace = 1;
  }

  /**
   * For how long sends of the item were under way since this store leads. Time at a slow engine
   * counts as what a usual one would have taken for the same work.
   */
  long normalizedRunMs(long nowMs) {
    return normalizedRunMs + (stream == null ? 0 : Math.round((nowMs - startedMs) / relativePace));
  }

  /** How many times as long as usual work takes where the item runs; 1 when it does not run. */
  double relativePace() {
    return relativePace;
  }

  /** What is known of the pace where the item runs has changed. */
  void setRelativePace(double relativePaceThere) {
    relativePace = relativePaceThere;
  }

  private void reportMomentaryPace() {
    EngineLoadReport load = stream.load();
    if (load != null && load.pacePercent() != EngineLoadReport.PACE_UNKNOWN) {
      engine.pace().onReported(load.pacePercent(), stream.headReceivedMs());
    }
  }

  /** Hears in which time a usual engine would have brought events. */
  interface EventTimeListener {
    void onEvents(long events, long usualMs);
  }

  /**
   * The events that were recorded before this store knew the item as leader. Without them an item
   * that is nearly whole would look as if all of it were left, and urgent, after each change of the
   * leader.
   */
  long inheritedEvents() {
    return inheritedEvents;
  }

  /**
   * Tells the engine's pace and {@code eventTimes} the events since the last time. The first events
   * of a send only begin a span, because the item waited and its prompt was read before them.
   */
  void reportPace(long nowMs, EventTimeListener eventTimes) {
    if (engine == null || lastEvent <= paceSampleEvent) {
      return;
    }
    if (paceSampleMs <= startedMs) {
      reportMomentaryPace();
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

  /** Keeps events of a send; returns false when they do not follow those that are held. */
  boolean appendEvents(ItemEvents events) {
    if (events.isEmpty()) {
      return true;
    }
    if (events.afterEvent() != lastEvent) {
      return false;
    }
    unrecordedText = ItemProgress.join(unrecordedText, events.text());
    lastEvent = events.lastEvent();
    return true;
  }

  long lastEvent() {
    return lastEvent;
  }

  /** The events that were not proposed yet; from now on they count as recorded. */
  Optional<BatchProgress> takeUnrecorded() {
    if (lastEvent == recordedEvent || finished) {
      return Optional.empty();
    }
    String jobId = job.submission().jobId();
    BatchProgress progress =
        new BatchProgress(jobId, item.id(), recordedEvent, lastEvent, unrecordedText);
    recordedEvent = lastEvent;
    unrecordedText = "";
    return Optional.of(progress);
  }

  /** The outcome of the whole item; nothing more is sent. */
  BatchOutcome finishCompleted() {
    finished = true;
    return new BatchOutcome(item.id(), true, recordedEvent, unrecordedText);
  }

  /** The outcome of an item that is given up; nothing more is sent. */
  BatchOutcome finishGivenUp() {
    finished = true;
    return BatchOutcome.givenUp(item.id());
  }

  /** For how long this store has known the item as leader. */
  long knownMs(long nowMs) {
    return nowMs - knownSinceMs;
  }

  /**
   * The time that has passed since the submission at least. The time of the log runs ahead while it
   * catches up after an outage: after one of 4 s, an item that may be given up after 3 s was given
   * up after 2.2 s by it.
   */
  long minAgeMs(long nowMs) {
    return minAgeWhenKnownMs + knownMs(nowMs);
  }

  /** For how long the send under way has run. */
  long attemptMs(long nowMs) {
    return stream == null ? 0 : nowMs - startedMs;
  }

  /** How many attempts failed. */
  int failures() {
    return failures;
  }

  int countFailure() {
    return ++failures;
  }

  /** Counts an answer that proves nothing, and returns how many there were. */
  int countUnclearResponse() {
    return ++unclearAnswers;
  }

  void waitUntil(long nextMs) {
    notBeforeMs = nextMs;
  }

  boolean isFinished() {
    return finished;
  }
}
