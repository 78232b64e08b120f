package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.RaftMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * An in-memory network in which every process has one outgoing and one incoming link of limited
 * rate. Each link is a FIFO queue. Like the transport, it drops a message when too many bytes are
 * already in flight between the same two processes.
 */
final class RateLimitedNetwork {
  private static final int MESSAGE_OVERHEAD_BYTES = 200;
  private static final double LATENCY_MS = 1;

  private record Transit(
      double dueAtMs, long order, RaftMessage message, boolean passedIncomingLink) {}

  private record Route(int from, int to) {}

  private final double bytesPerMs;
  private final long bufferBytes;
  private final Map<Integer, Double> incomingBytesPerMs = new HashMap<>();
  private final Map<Integer, Double> outgoingFreeAtMs = new HashMap<>();
  private final Map<Integer, Double> incomingFreeAtMs = new HashMap<>();
  private final Map<Route, Long> inFlightBytes = new HashMap<>();
  private final Map<Route, Long> sentBytes = new HashMap<>();
  private final PriorityQueue<Transit> transits =
      new PriorityQueue<>(
          Comparator.comparingDouble(Transit::dueAtMs).thenComparing(Transit::order));
  private long nextOrder;

  /**
   * Creates a network with links of {@code bytesPerMs} each that drops messages once {@code
   * bufferBytes} are in flight between two processes.
   */
  RateLimitedNetwork(double bytesPerMs, long bufferBytes) {
    this.bytesPerMs = bytesPerMs;
    this.bufferBytes = bufferBytes;
  }

  /** Limits the rate of the incoming link of {@code id}. */
  void limitIncoming(int id, double limitBytesPerMs) {
    incomingBytesPerMs.put(id, limitBytesPerMs);
  }

  /** Queues a message on its sender's link. */
  void send(RaftMessage message, long nowMs) {
    Route route = routeOf(message);
    if (inFlightBytes.getOrDefault(route, 0L) >= bufferBytes) {
      return;
    }
    long bytes = sizeBytes(message);
    inFlightBytes.merge(route, bytes, Long::sum);
    sentBytes.merge(route, bytes, Long::sum);
    double startMs = Math.max((double) nowMs, outgoingFreeAtMs.getOrDefault(route.from(), 0.0));
    double doneMs = startMs + bytes / bytesPerMs;
    outgoingFreeAtMs.put(route.from(), doneMs);
    transits.add(new Transit(doneMs + LATENCY_MS, nextOrder++, message, false));
  }

  /** Removes and returns the messages that have arrived. */
  List<RaftMessage> takeArrived(long nowMs) {
    List<RaftMessage> arrived = new ArrayList<>();
    while (!transits.isEmpty() && transits.peek().dueAtMs() <= nowMs) {
      Transit transit = transits.poll();
      if (transit.passedIncomingLink()) {
        inFlightBytes.merge(routeOf(transit.message()), -sizeBytes(transit.message()), Long::sum);
        arrived.add(transit.message());
      } else {
        queueOnIncomingLink(transit);
      }
    }
    return arrived;
  }

  private void queueOnIncomingLink(Transit transit) {
    RaftMessage message = transit.message();
    int to = message.header().to();
    double startMs = Math.max(transit.dueAtMs(), incomingFreeAtMs.getOrDefault(to, 0.0));
    double rate = incomingBytesPerMs.getOrDefault(to, bytesPerMs);
    double doneMs = startMs + sizeBytes(message) / rate;
    incomingFreeAtMs.put(to, doneMs);
    transits.add(new Transit(doneMs, nextOrder++, message, true));
  }

  /** The bytes that all processes have sent to {@code to}. */
  long sentBytesTo(int to) {
    return sentBytes.entrySet().stream()
        .filter(entry -> entry.getKey().to() == to)
        .mapToLong(Map.Entry::getValue)
        .sum();
  }

  /** The bytes that all processes have sent. */
  long sentBytes() {
    return sentBytes.values().stream().mapToLong(Long::longValue).sum();
  }

  private static Route routeOf(RaftMessage message) {
    return new Route(message.header().from(), message.header().to());
  }

  private static long sizeBytes(RaftMessage message) {
    long entryBytes = 0;
    if (message instanceof AppendRequest append) {
      entryBytes = append.entries().stream().mapToLong(LogEntry::sizeBytes).sum();
    }
    return MESSAGE_OVERHEAD_BYTES + entryBytes;
  }
}
