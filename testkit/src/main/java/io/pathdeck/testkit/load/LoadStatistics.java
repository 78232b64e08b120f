package io.pathdeck.testkit.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What a load run measured. Thread-safe. */
public final class LoadStatistics {
  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final int MAX_PROBLEMS_KEPT = 20;

  private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final Histogram tokenGap = new ConcurrentHistogram(MAX_MICROS, DIGITS);
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong answered = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong failed = new AtomicLong();
  private final AtomicLong wrong = new AtomicLong();
  private final AtomicLong tokens = new AtomicLong();
  private final AtomicLong itemsAccepted = new AtomicLong();
  private final AtomicLong itemsRight = new AtomicLong();
  private final AtomicLong itemsWrong = new AtomicLong();
  private final AtomicLong jobsFailed = new AtomicLong();
  private final AtomicLong lastItemAtNs = new AtomicLong();
  private final List<String> problems = new ArrayList<>();
  private final long startedAtNs = System.nanoTime();

  void onSent() {
    sent.incrementAndGet();
  }

  void onFirstToken(long nanos) {
    firstToken.recordValue(Math.min(MAX_MICROS, nanos / 1_000));
  }

  void onGap(long nanos) {
    tokenGap.recordValue(Math.min(MAX_MICROS, nanos / 1_000));
  }

  void onTokens(int count) {
    tokens.addAndGet(count);
  }

  void onAnswered() {
    answered.incrementAndGet();
  }

  void onRefused() {
    refused.incrementAndGet();
  }

  void onFailed(String problem) {
    failed.incrementAndGet();
    note(problem);
  }

  void onWrong(String problem) {
    wrong.incrementAndGet();
    note(problem);
  }

  void onItemsAccepted(int count) {
    itemsAccepted.addAndGet(count);
  }

  void onItemRight() {
    itemsRight.incrementAndGet();
    lastItemAtNs.set(System.nanoTime());
  }

  void onItemWrong(String problem) {
    itemsWrong.incrementAndGet();
    note(problem);
  }

  void onJobFailed(String problem) {
    jobsFailed.incrementAndGet();
    note(problem);
  }

  private void note(String problem) {
    synchronized (problems) {
      if (problems.size() < MAX_PROBLEMS_KEPT) {
        problems.add(problem);
      }
    }
  }

  /** Whether every request and item was answered right and exactly once. */
  public boolean isClean() {
    return failed.get() == 0
        && wrong.get() == 0
        && refused.get() == 0
        && itemsWrong.get() == 0
        && jobsFailed.get() == 0
        && itemsAccepted.get() == itemsRight.get();
  }

  private double itemsPerSecond() {
    double seconds = (lastItemAtNs.get() - startedAtNs) / 1e9;
    return itemsRight.get() == 0 ? 0 : itemsRight.get() / seconds;
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** The figures as JSON. */
  public ObjectNode toJson() {
    ObjectNode json = Json.object();
    json.put("requests", sent.get());
    json.put("answered", answered.get());
    json.put("refused", refused.get());
    json.put("failed", failed.get());
    json.put("wrong", wrong.get());
    json.put("tokens", tokens.get());
    json.put("first_token_p50_ms", millis(firstToken, 50));
    json.put("first_token_p95_ms", millis(firstToken, 95));
    json.put("first_token_p99_ms", millis(firstToken, 99));
    json.put("token_gap_p50_ms", millis(tokenGap, 50));
    json.put("token_gap_p95_ms", millis(tokenGap, 95));
    json.put("items_accepted", itemsAccepted.get());
    json.put("items_right", itemsRight.get());
    json.put("items_wrong", itemsWrong.get());
    json.put("items_per_second", itemsPerSecond());
    json.put("clean", isClean());
    return json;
  }

  /** Prints a short report. */
  public void print(PrintStream out) {
    row(
        out,
        "requests      %d sent, %d answered, %d refused, %d failed, %d wrong%n",
        sent.get(),
        answered.get(),
        refused.get(),
        failed.get(),
        wrong.get());
    row(
        out,
        "first token   p50 %.1f ms, p95 %.1f ms, p99 %.1f ms%n",
        millis(firstToken, 50),
        millis(firstToken, 95),
        millis(firstToken, 99));
    row(
        out,
        "token gap     p50 %.1f ms, p95 %.1f ms%n",
        millis(tokenGap, 50),
        millis(tokenGap, 95));
    row(
        out,
        "batch items   %d accepted, %d right, %d wrong, %d jobs failed%n",
        itemsAccepted.get(),
        itemsRight.get(),
        itemsWrong.get(),
        jobsFailed.get());
    row(out, "batch rate    %.1f items/s%n", itemsPerSecond());
    synchronized (problems) {
      problems.forEach(problem -> out.println("problem       " + problem));
    }
    out.println(isClean() ? "result        clean" : "result        NOT CLEAN");
  }

  private static void row(PrintStream out, String format, Object... values) {
    out.printf(Locale.ROOT, format, values);
  }
}
