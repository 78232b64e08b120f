package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EventTimes;
import io.pathdeck.fleet.engine.Placement;

/** What one send of a request teaches about its engine; confined to the event loop. */
final class EngineUse {
  private static final long NOTHING_YET = -1;

  private final EngineState engine;
  private final long tokensToRead;
  private final double believedLoad;
  private final long loadAgeMs;
  private final long sentMs;
  private final EventTimes eventTimes = new EventTimes();
  private boolean promptRead;
  private long firstBytesMs = NOTHING_YET;

  EngineUse(Placement placement, long nowMs) {
    this.engine = placement.engine();
    this.tokensToRead = placement.tokensToRead();
    this.believedLoad = engine.estimatedLoad(nowMs);
    this.loadAgeMs = engine.loadAgeMs(nowMs);
    this.sentMs = nowMs;
  }

  EngineState engine() {
    return engine;
  }

  /** The load at the choice, as it was believed. */
  double believedLoad() {
    return believedLoad;
  }

  /** How old that belief was. */
  long loadAgeMs() {
    return loadAgeMs;
  }

  /** Whether the engine was believed to have a free place at the choice. */
  boolean foundRoom() {
    return believedLoad < engine.instance().slots();
  }

  void begin() {
    engine.onStart(sentMs);
    engine.onPromptSent(tokensToRead);
  }

  void onHeard(long nowMs) {
    notePromptRead();
    engine.onHeard(nowMs);
  }

  /** The answer began; returns how long the request waited beyond the reading of its prompt. */
  long onFirstBytes(long tokensReadPerMs, EngineLoadReport load, long nowMs) {
    firstBytesMs = nowMs;
    long readingMs = tokensToRead / tokensReadPerMs;
    long waitMs = Math.max(0, nowMs - sentMs - readingMs);
    engine.onFirstBytes(waitMs, nowMs);
    if (load != null) {
      engine.onLoad(load, nowMs);
    }
    return waitMs;
  }

  /** How long the first bytes took after the send. */
  long firstAfterMs() {
    return firstBytesMs - sentMs;
  }

  /** Whether the answer began. */
  boolean hasBegun() {
    return firstBytesMs != NOTHING_YET;
  }

  /** For how long the answer has been coming. */
  long answeringMs(long nowMs) {
    return nowMs - firstBytesMs;
  }

  /** A stream has come to {@code event}. */
  void onEvent(long event, long nowMs) {
    eventTimes.onEvent(event, nowMs);
  }

  /** A stream has ended well: its events show the engine's pace. */
  void onWholeStream(long nowMs) {
    engine.pace().onStream(eventTimes.events(), eventTimes.spanMs(), nowMs);
  }

  void end() {
    notePromptRead();
    engine.onEnd();
  }

  private void notePromptRead() {
    if (!promptRead) {
      promptRead = true;
      engine.onPromptRead(tokensToRead);
    }
  }
}
