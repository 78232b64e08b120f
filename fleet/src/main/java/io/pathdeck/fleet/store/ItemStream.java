package io.pathdeck.fleet.store;

import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.ResponseMemory;
import io.pathdeck.fleet.engine.SseEventScanner;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Collects the response to one attempt to run an item; confined to the event loop except where
 * noted.
 */
final class ItemStream implements EngineListener {
  private static final int FIRST_SUCCESS_STATUS = 200;
  private static final int FIRST_REDIRECTION_STATUS = 300;
  private static final int UNPROCESSABLE_CONTENT = 422;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final long DEFAULT_RETRY_AFTER_MS = 100;
  private static final long SILENCE_TIMEOUT_MS = 1_500;

  /**
   * Limits the time without an event while other bytes arrive. Much longer than the time between
   * two events of a slow engine, and short enough for the item to run elsewhere.
   */
  private static final long EVENT_TIMEOUT_MS = 5_000;

  /**
   * How long after the choice of an engine the item may still be sent there; only a suspended
   * process exceeds it. Meanwhile the engine may have become one that must get nothing.
   */
  private static final long MAX_CHOICE_AGE_MS = 1_000;

  /** Bounds the events without ids, which are kept until the response is complete. */
  private static final int MAX_BYTES_WITHOUT_IDS = 4 * 1024 * 1024;

  /** A buffer may be twice as large as its content. */
  private static final int BUFFER_RATIO = 2;

  private final StreamOrigin origin;
  private final int maxBytes;
  private final Consumer<ItemOutcome> listener;
  private final boolean isNew;
  private final SseEventScanner scanner;
  private final ResponseMemory.Reservation memory;
  private ByteArrayOutputStream undrainedEvents = new ByteArrayOutputStream();
  private EngineTransport.Handle handle;
  private EngineResponse response;
  private boolean hasEvents;
  private volatile EngineLoadReport load;
  private volatile long headReceivedMs;
  private long lastDrainedEvent;
  private long eventBytes;
  private volatile boolean over;
  private volatile boolean awaitsVerdict;
  private volatile long lastReceivedMs;
  private volatile long lastEventMs;

  /** Creates an attempt at an engine of {@code origin} to run an item without events. */
  ItemStream(StreamOrigin origin, long resumeAfter, Consumer<ItemOutcome> listener) {
    this(
        origin, resumeAfter, ItemRun.MAX_DATA_LENGTH, new ResponseMemory(Long.MAX_VALUE), listener);
  }

  /**
   * Creates an attempt that may bring events of {@code maxBytes} together, and holds them in {@code
   * memory} until they are drained.
   */
  ItemStream(
      StreamOrigin origin,
      long resumeAfter,
      int maxBytes,
      ResponseMemory memory,
      Consumer<ItemOutcome> listener) {
    this.memory = memory.open(this::onMemoryEvicted);
    this.origin = origin;
    this.maxBytes = maxBytes;
    this.isNew = resumeAfter < 0;
    this.scanner = new SseEventScanner(resumeAfter);
    this.lastDrainedEvent = resumeAfter;
    this.listener = listener;
    this.lastReceivedMs = nowMs();
    this.lastEventMs = lastReceivedMs;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  void start(EngineTransport transport, EngineCall call) {
    if (!over && nowMs() - lastReceivedMs > MAX_CHOICE_AGE_MS) {
      finish(ItemOutcome.Kind.REFUSED, "the process was suspended before the start");
    }
    if (!over) {
      handle = transport.start(call, this);
      observeVerdict();
    }
  }

  /** Cancels the attempt without an outcome. */
  void cancel() {
    over = true;
    memory.resize(0);
    if (handle != null) {
      handle.cancel();
    }
  }

  /** Cancels the attempt as broken, so that the item resumes elsewhere. */
  void abort(String reason) {
    cancelAndFinish(ItemOutcome.Kind.BROKEN, reason);
  }

  /** Cancels the attempt to free its slot; the item resumes later after its last event. */
  void yieldSlot() {
    giveWay("room for online requests");
  }

  /** Cancels the attempt because the item would be late here; it resumes elsewhere. */
  void leaveEngine() {
    giveWay("too slow to be in time");
  }

  private void giveWay(String reason) {
    observeVerdict();
    if (!awaitsVerdict) {
      cancelAndFinish(ItemOutcome.Kind.YIELDED, reason);
    }
  }

  /** Others wait for the verdict of a trial. */
  private void observeVerdict() {
    awaitsVerdict = handle != null && handle.awaitsVerdict();
  }

  /**
   * Whether the attempt may be stopped in favor of others, as it was when it last received or
   * drained something; safe from any thread.
   */
  boolean canGiveWay() {
    return !awaitsVerdict;
  }

  private void cancelAndFinish(ItemOutcome.Kind kind, String reason) {
    if (!over) {
      if (handle != null) {
        handle.cancel();
      }
      finish(kind, reason);
    }
  }

  /**
   * Passes the complete events not drained before to {@code receiver}; none after the attempt has
   * ended. Events without ids stay until one with an id follows or the response is complete: a
   * later attempt could not go on after them.
   */
  void drainEvents(Consumer<ItemEvents> receiver) {
    observeVerdict();
    if (!over && hasUndrainedIds()) {
      receiver.accept(takeEvents());
    }
  }

  private boolean hasUndrainedIds() {
    return scanner.lastId() > lastDrainedEvent;
  }

  private ItemEvents takeEvents() {
    String data = SseEventScanner.dataOf(undrainedEvents.toByteArray());
    forgetUndrained();
    long afterEvent = lastDrainedEvent;
    lastDrainedEvent = Math.max(afterEvent, scanner.lastId());
    return new ItemEvents(origin, afterEvent, lastDrainedEvent, data);
  }

  private ItemEvents noEvents() {
    forgetUndrained();
    return new ItemEvents(origin, lastDrainedEvent, lastDrainedEvent, EventData.NONE);
  }

  /** A buffer that is reset would keep its size. */
  private void forgetUndrained() {
    undrainedEvents = new ByteArrayOutputStream();
    memory.resize(over ? 0 : scanner.capacity());
  }

  private void onMemoryEvicted() {
    cancelAndFinish(ItemOutcome.Kind.EVICTED, "no memory left for its events");
  }

  /** Whether the attempt has ended; safe from any thread. */
  boolean isOver() {
    return over;
  }

  /** Returns why the attempt is to be aborted, if it is; safe from any thread. */
  Optional<String> stall(long nowMs) {
    if (nowMs - lastReceivedMs > SILENCE_TIMEOUT_MS) {
      return Optional.of("silent for " + SILENCE_TIMEOUT_MS + " ms");
    }
    if (nowMs - lastEventMs > EVENT_TIMEOUT_MS) {
      return Optional.of("no event for " + EVENT_TIMEOUT_MS + " ms");
    }
    return Optional.empty();
  }

  /** The engine's load when the response began; null if not reported; safe from any thread. */
  EngineLoadReport load() {
    return load;
  }

  /** When the response began; safe from any thread. */
  long headReceivedMs() {
    return headReceivedMs;
  }

  @Override
  public boolean checksEvents() {
    return true;
  }

  @Override
  public void onHead(EngineResponse head) {
    lastReceivedMs = nowMs();
    response = head;
    headReceivedMs = lastReceivedMs;
    lastEventMs = lastReceivedMs;
    load = head.load();
  }

  private boolean isSuccess() {
    return response.status() >= FIRST_SUCCESS_STATUS
        && response.status() < FIRST_REDIRECTION_STATUS;
  }

  @Override
  public void onBody(byte[] chunk) {
    lastReceivedMs = nowMs();
    observeVerdict();
    if (over || !isSuccess()) {
      return;
    }
    byte[] events = scanner.feed(chunk);
    eventBytes += events.length;
    undrainedEvents.writeBytes(events);
    if (scanner.hasAdvanced()) {
      hasEvents = true;
      lastEventMs = lastReceivedMs;
    }
    if (scanner.problem() != null) {
      abort(scanner.problem());
    } else if (!hasUndrainedIds() && undrainedEvents.size() > MAX_BYTES_WITHOUT_IDS) {
      abort("too many events without ids");
    } else if (eventBytes > maxBytes) {
      cancelAndFinish(ItemOutcome.Kind.TOO_LONG, "more than " + maxBytes + " bytes of events");
    } else {
      memory.resize((long) BUFFER_RATIO * undrainedEvents.size() + scanner.capacity());
    }
  }

  @Override
  public void onEnd() {
    if (over) {
      return;
    }
    if (isSuccess()) {
      boolean complete = !scanner.hasPartialEvent();
      finish(complete ? ItemOutcome.Kind.DONE : ItemOutcome.Kind.BROKEN, "ended");
    } else if (response.wrongInstance()) {
      finish(ItemOutcome.Kind.OTHER_INSTANCE, "another engine");
    } else if (response.unsuitable()) {
      finish(ItemOutcome.Kind.UNSUITABLE, "not suitable for the item");
    } else if (response.notRun()) {
      finish(ItemOutcome.Kind.REFUSED, "refused with " + response.status());
    } else if (response.status() == UNPROCESSABLE_CONTENT) {
      finish(ItemOutcome.Kind.IMPOSSIBLE, "impossible");
    } else if (response.status() == INTERNAL_SERVER_ERROR) {
      finish(ItemOutcome.Kind.FAILED, "status " + response.status());
    } else {
      finish(ItemOutcome.Kind.UNCLEAR, "status " + response.status());
    }
  }

  /** An engine that stopped before the first event of a new stream would end it in the same way. */
  @Override
  public void onEndByClose() {
    if (!over && isSuccess() && isNew && !hasEvents) {
      finish(ItemOutcome.Kind.BROKEN, "the connection closed before the first event");
    } else {
      onEnd();
    }
  }

  @Override
  public void onFailure(EngineFailure failure, String reason) {
    if (!over) {
      finish(kindOf(failure), reason);
    }
  }

  private static ItemOutcome.Kind kindOf(EngineFailure failure) {
    if (failure == EngineFailure.QUARANTINED) {
      return ItemOutcome.Kind.QUARANTINED;
    }
    return failure.requestDidNotRun() ? ItemOutcome.Kind.REFUSED : ItemOutcome.Kind.BROKEN;
  }

  private void finish(ItemOutcome.Kind kind, String reason) {
    over = true;
    if (kind != ItemOutcome.Kind.DONE && !hasUndrainedIds()) {
      forgetUndrained();
    }
    long retryAfterMs =
        response == null || response.retryAfterMs() == 0
            ? DEFAULT_RETRY_AFTER_MS
            : response.retryAfterMs();
    boolean dropsEvents = kind == ItemOutcome.Kind.TOO_LONG || kind == ItemOutcome.Kind.EVICTED;
    ItemEvents events = dropsEvents ? noEvents() : takeEvents();
    listener.accept(new ItemOutcome(kind, events, retryAfterMs, reason));
  }
}
