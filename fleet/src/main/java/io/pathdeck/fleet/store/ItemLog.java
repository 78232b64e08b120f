package io.pathdeck.fleet.store;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.engine.EngineState;
import java.util.Locale;

/** The log lines about items of batch jobs. */
final class ItemLog {
  private static final EventLog EVENTS = EventLog.of(ItemLog.class);

  private ItemLog() {}

  static void started(ItemRun run, EngineState engine, long dueInMs, long slackMs, long nowMs) {
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
        run.lastEvent(),
        "due_in_ms",
        dueInMs,
        "slack_ms",
        slackMs);
  }

  static void retried(ItemRun run, ItemOutcome outcome) {
    retried(run, outcome.kind().name(), outcome.reason(), outcome.events().lastEvent());
  }

  static void retried(ItemRun run, String outcome, String reason, long afterEvent) {
    EVENTS.log(
        EventCode.ITEM_RETRIED,
        "job",
        run.job.submission().jobId(),
        "item",
        run.item.id(),
        "outcome",
        outcome,
        "reason",
        reason,
        "after_event",
        afterEvent);
  }

  static void listed(ItemRun run, boolean done, String reason, long ageMs) {
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
        ageMs);
  }
}
