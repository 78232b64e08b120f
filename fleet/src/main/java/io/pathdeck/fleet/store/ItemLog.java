package io.pathdeck.fleet.store;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.engine.EngineState;
import java.util.Locale;

/** Logs starts, retries and results of batch items. */
final class ItemLog {
  private static final EventLog EVENTS = EventLog.of(ItemLog.class);

  private ItemLog() {}

  static void started(
      ItemRun run, EngineState engine, double pace, long dueInMs, long slackMs, long nowMs) {
    EVENTS.log(
        EventCode.ITEM_STARTED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "engine",
        engine.instance().id(),
        "software_version",
        engine.instance().softwareVersion(),
        "load",
        String.format(Locale.ROOT, "%.1f", engine.estimatedLoad(nowMs)),
        "load_age_ms",
        engine.loadReportAgeMs(nowMs),
        "pace",
        String.format(Locale.ROOT, "%.1f", pace),
        "after_event",
        run.lastEvent(),
        "due_in_ms",
        dueInMs,
        "slack_ms",
        slackMs);
  }

  /** Logs an attempt that ended before the item was complete. */
  static void retried(ItemRun run, EngineState engine, ItemOutcome outcome, long attemptMs) {
    String engineId = engine.instance().id();
    long lastEvent = outcome.events().lastEvent();
    retried(run, engineId, outcome.kind().name(), outcome.reason(), attemptMs, lastEvent);
  }

  /** Logs an item that restarts because its events were not recorded. */
  static void restarted(ItemRun run, long recordedEvent) {
    retried(run, "", "RESTARTED", "what it brought was not recorded", 0, recordedEvent);
  }

  /** Logs an item whose events are discarded. */
  static void beginsAnew(ItemRun run, String reason) {
    retried(run, "", "BEGINS_ANEW", reason, 0, run.lastEvent());
  }

  private static void retried(
      ItemRun run,
      String engineId,
      String outcome,
      String reason,
      long attemptMs,
      long afterEvent) {
    EVENTS.log(
        EventCode.ITEM_RETRIED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "engine",
        engineId,
        "outcome",
        outcome,
        "reason",
        reason,
        "failures",
        run.failures(),
        "took_ms",
        attemptMs,
        "after_event",
        afterEvent);
  }

  static void listed(ItemRun run, boolean done, String reason, long ageMs, long knownMs) {
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
        ageMs,
        "known_ms",
        knownMs);
  }

  /** Logs an item that is at no engine although one has room for it. */
  static void waits(ItemRun run, WaitReason reason, long waitMs, long ageMs) {
    EVENTS.log(
        EventCode.ITEM_WAITS,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "reason",
        reason,
        "waited_ms",
        waitMs,
        "reasons_ms",
        run.waitTimes(),
        "age_ms",
        ageMs,
        "after_event",
        run.lastEvent());
  }
}
