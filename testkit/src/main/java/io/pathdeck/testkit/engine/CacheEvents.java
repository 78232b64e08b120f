package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;

/** Events of the prefix cache, published late and with gaps in their sequence. */
final class CacheEvents {
  private static final int MAX_EVENTS = 10_000;

  private record Event(long sequence, long atMs, String kind, long block) {}

  private final Deque<Event> events = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);
  private final long lagMs;
  private final int gapPercent;
  private long nextSequence = 1;

  CacheEvents(long lagMs, int gapPercent) {
    this.lagMs = lagMs;
    this.gapPercent = gapPercent;
  }

  synchronized void add(String kind, long block, long nowMs) {
    long sequence = nextSequence++;
    if (random.nextInt(100) >= gapPercent) {
      events.addLast(new Event(sequence, nowMs, kind, block));
    }
    if (events.size() > MAX_EVENTS) {
      events.pollFirst();
    }
  }

  synchronized byte[] after(long sequence, long nowMs) {
    ObjectNode json = Json.object();
    ArrayNode list = json.putArray("events");
    for (Event event : events) {
      if (event.sequence() > sequence && event.atMs() + lagMs <= nowMs) {
        list.addObject()
            .put("sequence", event.sequence())
            .put("kind", event.kind())
            .put("block", Long.toHexString(event.block()));
      }
    }
    return Json.encode(json);
  }
}
