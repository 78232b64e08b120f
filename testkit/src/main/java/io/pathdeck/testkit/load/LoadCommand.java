package io.pathdeck.testkit.load;

import io.pathdeck.serving.http.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/** {@code testkit load}: sends online and batch load and checks every answer. */
public final class LoadCommand {
  private static final int USAGE = 2;
  private static final long FINISH_GRACE_SECONDS = 20;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> nodes =
      parser.accepts("nodes").withRequiredArg().withValuesSeparatedBy(',').required();
  private final OptionSpec<String> key = parser.accepts("key").withRequiredArg().required();
  private final OptionSpec<String> model = parser.accepts("model").withRequiredArg().required();
  private final OptionSpec<Double> rate =
      parser.accepts("rate").withRequiredArg().ofType(Double.class).defaultsTo(10.0);
  private final OptionSpec<Integer> seconds =
      parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(10);
  private final OptionSpec<Long> seed =
      parser.accepts("seed").withRequiredArg().ofType(Long.class).defaultsTo(1L);
  private final OptionSpec<Integer> burst =
      parser.accepts("burst").withRequiredArg().ofType(Integer.class).defaultsTo(0);
  private final OptionSpec<Integer> jobInterval =
      parser.accepts("job-interval-ms").withRequiredArg().ofType(Integer.class).defaultsTo(8_000);
  private final OptionSpec<Integer> jobsPerHeap =
      parser.accepts("jobs-per-heap").withRequiredArg().ofType(Integer.class).defaultsTo(2);
  private final OptionSpec<Integer> itemsPerJob =
      parser.accepts("items-per-job").withRequiredArg().ofType(Integer.class).defaultsTo(100);
  private final OptionSpec<Integer> warmUp =
      parser
          .accepts("warm-up-seconds", "times of the first requests do not count")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(0);
  private final OptionSpec<Void> streamOnly =
      parser.accepts("stream-only", "ask for streams only, as engines do");
  private final OptionSpec<String> json = parser.accepts("json").withRequiredArg();

  /** Runs the command; returns the exit code. */
  public int run(List<String> arguments) {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return USAGE;
    }
    LoadStatistics statistics = new LoadStatistics();
    try (AsyncHttpClient client = Dsl.asyncHttpClient(clientConfig())) {
      send(options, client, statistics);
      statistics.print(System.out);
      if (options.has(json)) {
        Files.write(Path.of(options.valueOf(json)), Json.encode(statistics.toJson()));
      }
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return 1;
    }
    return statistics.isClean() ? 0 : 1;
  }

  private static org.asynchttpclient.DefaultAsyncHttpClientConfig.Builder clientConfig() {
    return Dsl.config()
        .setUseNativeTransport(false)
        .setIoThreadsCount(2)
        .setMaxRequestRetry(0)
        .setRequestTimeout(Duration.ofSeconds(120))
        .setReadTimeout(Duration.ofSeconds(60));
  }

  private void send(OptionSet options, AsyncHttpClient client, LoadStatistics statistics) {
    List<String> urls =
        options.valuesOf(nodes).stream().map(address -> "http://" + address).toList();
    long durationMs = TimeUnit.SECONDS.toMillis(options.valueOf(seconds));
    LoadPlan.Shape shape =
        new LoadPlan.Shape(
            urls.size(),
            options.valueOf(rate),
            durationMs,
            options.valueOf(burst),
            3_000,
            options.valueOf(jobInterval),
            options.valueOf(jobsPerHeap),
            options.valueOf(itemsPerJob),
            32);
    long startNs = System.nanoTime();
    long deadlineNs =
        startNs
            + TimeUnit.MILLISECONDS.toNanos(durationMs)
            + TimeUnit.SECONDS.toNanos(FINISH_GRACE_SECONDS);
    List<Thread> jobThreads =
        startJobs(options, client, statistics, urls, shape, startNs, deadlineNs);
    List<CompletableFuture<Void>> calls = new ArrayList<>();
    for (LoadPlan.Arrival arrival : LoadPlan.arrivals(shape, options.valueOf(seed))) {
      sleepUntil(startNs + TimeUnit.MILLISECONDS.toNanos(arrival.atMs()));
      calls.add(
          OnlineCaller.send(
              client,
              urls.get(arrival.node()),
              options.valueOf(key),
              Prompts.chat(
                  options.valueOf(model),
                  arrival.family(),
                  "request-" + arrival.number(),
                  arrival.promptTokens(),
                  arrival.answerTokens(),
                  arrival.stream() || options.has(streamOnly)),
              arrival.atMs() >= TimeUnit.SECONDS.toMillis(options.valueOf(warmUp)),
              statistics));
    }
    CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0])).join();
    jobThreads.forEach(LoadCommand::join);
  }

  private List<Thread> startJobs(
      OptionSet options,
      AsyncHttpClient client,
      LoadStatistics statistics,
      List<String> urls,
      LoadPlan.Shape shape,
      long startNs,
      long deadlineNs) {
    List<Thread> threads = new ArrayList<>();
    for (LoadPlan.Job job : LoadPlan.jobs(shape)) {
      BatchCaller caller =
          new BatchCaller(
              client,
              urls.get(job.number() % urls.size()),
              urls.get((job.number() + 1) % urls.size()),
              options.valueOf(key),
              options.valueOf(model),
              job,
              deadlineNs,
              statistics);
      Thread thread =
          new Thread(
              () -> {
                sleepUntil(startNs + TimeUnit.MILLISECONDS.toNanos(job.atMs()));
                caller.run();
              },
              "job-" + job.number());
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  private static void sleepUntil(long atNs) {
    long remainingNs = atNs - System.nanoTime();
    if (remainingNs > 0) {
      try {
        TimeUnit.NANOSECONDS.sleep(remainingNs);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
