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

/** Reads the list of engines again and again while this coordinator leads; on one event loop. */
final class EngineListPoller {
  private static final EventLog EVENTS = EventLog.of(EngineListPoller.class);
  private static final long CALL_TIMEOUT_MS = 900;
  private static final long RETRY_DELAY_MS = 300;
  private static final int MAX_PAGES = 1_000;

  /** About 100 bytes each. */
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
  private boolean reachable = true;

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

  /** Begins or ends to poll. Thread-safe. */
  void setPolling(boolean on) {
    eventLoop.execute(
        () -> {
          polling = on;
          generation++;
          if (on) {
            readPage(generation, null, new ArrayList<>(), 1);
          }
        });
  }

  private void readPage(long ofRound, String page, List<EngineInstance> read, int pages) {
    if (!polling || ofRound != generation) {
      return;
    }
    fetcher
        .get(address, protocol.path(page), CALL_TIMEOUT_MS)
        .thenAccept(result -> onPage(ofRound, result, read, pages));
  }

  private void onPage(
      long ofRound, Result<byte[], String> result, List<EngineInstance> read, int pages) {
    Result<EngineListProtocol.Page, String> page =
        result.isOk() ? protocol.read(result.value()) : Result.err(result.error());
    if (!page.isOk()) {
      if (reachable) {
        EVENTS.log(EventCode.ENGINE_LIST_UNREACHABLE, "address", address, "reason", page.error());
      }
      reachable = false;
      scheduleNext(ofRound, RETRY_DELAY_MS);
      return;
    }
    reachable = true;
    page.value().rejected().forEach(this::logRejectedOnce);
    read.addAll(page.value().engines());
    String next = page.value().nextPage();
    if (next != null && pages < MAX_PAGES) {
      readPage(ofRound, next, read, pages + 1);
    } else {
      listener.accept(read);
      scheduleNext(ofRound, intervalMs);
    }
  }

  /** An entry that stays in the list is told once, as long as few others come. */
  private void logRejectedOnce(String reason) {
    if (loggedRejections.size() >= MAX_LOGGED_REJECTIONS) {
      loggedRejections.clear();
    }
    if (loggedRejections.add(reason)) {
      EVENTS.log(EventCode.ENGINE_ENTRY_REJECTED, "reason", reason);
    }
  }

  private void scheduleNext(long ofRound, long pauseMs) {
    eventLoop.schedule(
        () -> readPage(ofRound, null, new ArrayList<>(), 1), pauseMs, TimeUnit.MILLISECONDS);
  }
}
