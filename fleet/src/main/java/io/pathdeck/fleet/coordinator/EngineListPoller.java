package io.pathdeck.fleet.coordinator;

import io.netty.channel.EventLoop;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.fleet.adapter.EngineListProtocol;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Polls the list of engines while this coordinator leads. All state belongs to one event loop. */
final class EngineListPoller {
  private static final EventLog EVENTS = EventLog.of(EngineListPoller.class);
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long RETRY_DELAY_MS = 300;
  private static final int MAX_PAGES = 1_000;

  /**
   * Number of rejection reasons, of about 100 bytes each, remembered to log each only once; beyond
   * it all are forgotten.
   */
  private static final int MAX_LOGGED_REJECTIONS = 256;

  private final EventLoop eventLoop;
  private final HttpFetcher fetcher;
  private final EngineListProtocol protocol;
  private final HostPort address;
  private final long intervalMs;
  private final Consumer<List<EngineInstance>> listener;
  private final Set<String> loggedRejections = new HashSet<>();
  private long generation;
  private boolean polling;
  private boolean lastReadSucceeded = true;

  EngineListPoller(
      EventLoop eventLoop,
      EngineListProtocol protocol,
      HostPort address,
      long intervalMs,
      Consumer<List<EngineInstance>> listener) {
    this.eventLoop = eventLoop;
    this.fetcher = new HttpFetcher(eventLoop);
    this.protocol = protocol;
    this.address = address;
    this.intervalMs = intervalMs;
    this.listener = listener;
  }

  /** Starts or stops polling. Thread-safe. */
  void setPolling(boolean enabled) {
    eventLoop.execute(
        () -> {
          polling = enabled;
          generation++;
          if (enabled) {
            readPage(generation, null, new ArrayList<>(), 1);
          }
        });
  }

  private void readPage(
      long pollGeneration, String pageId, List<EngineInstance> engines, int pageCount) {
    if (!polling || pollGeneration != generation) {
      return;
    }
    fetcher
        .get(address, protocol.path(pageId), CALL_TIMEOUT_MS)
        .thenAccept(result -> onPage(pollGeneration, result, engines, pageCount));
  }

  private void onPage(
      long pollGeneration,
      Result<byte[], String> result,
      List<EngineInstance> engines,
      int pageCount) {
    Result<EngineListProtocol.Page, String> page =
        result.isOk() ? protocol.read(result.value()) : Result.err(result.error());
    if (!page.isOk()) {
      if (lastReadSucceeded) {
        EVENTS.log(EventCode.ENGINE_LIST_UNREACHABLE, "address", address, "reason", page.error());
      }
      lastReadSucceeded = false;
      scheduleNext(pollGeneration, RETRY_DELAY_MS);
      return;
    }
    lastReadSucceeded = true;
    page.value().rejected().forEach(this::logRejectedOnce);
    engines.addAll(page.value().engines());
    String next = page.value().nextPage();
    if (next != null && pageCount < MAX_PAGES) {
      readPage(pollGeneration, next, engines, pageCount + 1);
    } else {
      listener.accept(engines);
      scheduleNext(pollGeneration, intervalMs);
    }
  }

  /** Logs each reason once, and again after {@link #MAX_LOGGED_REJECTIONS} different ones. */
  private void logRejectedOnce(String reason) {
    if (loggedRejections.size() >= MAX_LOGGED_REJECTIONS) {
      loggedRejections.clear();
    }
    if (loggedRejections.add(reason)) {
      EVENTS.log(EventCode.ENGINE_ENTRY_REJECTED, "reason", reason);
    }
  }

  private void scheduleNext(long pollGeneration, long delayMs) {
    eventLoop.schedule(
        () -> readPage(pollGeneration, null, new ArrayList<>(), 1), delayMs, TimeUnit.MILLISECONDS);
  }
}
