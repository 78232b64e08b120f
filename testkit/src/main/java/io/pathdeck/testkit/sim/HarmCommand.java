package io.pathdeck.testkit.sim;

import io.pathdeck.dispatch.DispatchPolicy;
import io.pathdeck.testkit.sim.HarmExperiment.Deployment;
import io.pathdeck.testkit.sim.HarmExperiment.Policy;
import io.pathdeck.testkit.sim.HarmExperiment.Trouble;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code bin/bench harm}: batch throughput and harm to the online tail, for all policies. */
public final class HarmCommand {
  private static final int USAGE = 2;
  private static final int WEIGHT_HIGH = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> seeds =
      parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(5);
  private final OptionSpec<Integer> seconds =
      parser.accepts("seconds").withRequiredArg().ofType(Integer.class).defaultsTo(48);
  private final OptionSpec<Integer> alongside =
      parser
          .accepts("alongside", "batch items beside online work, instead of the policy's")
          .withRequiredArg()
          .ofType(Integer.class);
  private final OptionSpec<Void> quick = parser.accepts("quick", "no trouble runs");

  /** The means of one policy over the seeds, and the spread of the main figures. */
  private record Row(
      Policy policy,
      Trouble trouble,
      double p50,
      double p95,
      double p99,
      double p99Least,
      double p99Most,
      double gap,
      double items,
      double itemsLeast,
      double itemsMost,
      int answered,
      int failed,
      int violations) {}

  /** Runs the command; returns the exit code. */
  public int run(List<String> arguments, PrintStream out) {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      out.println(e.getMessage());
      return USAGE;
    }
    DispatchPolicy d = DispatchPolicy.DEFAULT;
    DispatchPolicy used =
        options.has(alongside)
            ? new DispatchPolicy(
                options.valueOf(alongside),
                d.onlineIdleMs(),
                d.windowStep(),
                d.windowStepMs(),
                d.loadExpiryMs(),
                d.probeIntervalMs(),
                d.backlogIntervalMs(),
                d.lookahead(),
                d.maxItemAttempts(),
                d.maxLeasePerCall())
            : d;
    int violations = 0;
    for (Deployment deployment : List.of(Deployment.SOUQ, Deployment.REFUNDNET)) {
      violations += runDeployment(deployment, used, options, out);
    }
    return violations == 0 ? 0 : 1;
  }

  private int runDeployment(
      Deployment deployment, DispatchPolicy used, OptionSet options, PrintStream out) {
    List<Row> rows = new ArrayList<>();
    for (Policy policy : Policy.values()) {
      rows.add(measure(deployment, policy, Trouble.NONE, used, options));
    }
    if (!options.has(quick)) {
      for (Trouble trouble :
          List.of(Trouble.ENGINE_KILLED, Trouble.ENGINE_LEAVING, Trouble.LATE_REPORTS)) {
        rows.add(measure(deployment, Policy.ONLINE_ALONE, trouble, used, options));
        rows.add(measure(deployment, Policy.PATHDECK, trouble, used, options));
      }
    }
    print(deployment, rows, options.valueOf(seeds), out);
    return rows.stream().mapToInt(Row::violations).sum();
  }

  private Row measure(
      Deployment deployment,
      Policy policy,
      Trouble trouble,
      DispatchPolicy used,
      OptionSet options) {
    long measuredMs = options.valueOf(seconds) * 1_000L;
    List<HarmExperiment.Result> results =
        LongStream.rangeClosed(1, options.valueOf(seeds))
            .parallel()
            .mapToObj(
                seed ->
                    new HarmExperiment(deployment, policy, trouble, used, seed, measuredMs).run())
            .toList();
    return new Row(
        policy,
        trouble,
        mean(results, HarmExperiment.Result::firstTokenP50),
        mean(results, HarmExperiment.Result::firstTokenP95),
        mean(results, HarmExperiment.Result::firstTokenP99),
        least(results, HarmExperiment.Result::firstTokenP99),
        most(results, HarmExperiment.Result::firstTokenP99),
        mean(results, HarmExperiment.Result::gapP95),
        mean(results, HarmExperiment.Result::itemsPerSecond),
        least(results, HarmExperiment.Result::itemsPerSecond),
        most(results, HarmExperiment.Result::itemsPerSecond),
        results.stream().mapToInt(HarmExperiment.Result::answered).sum(),
        results.stream().mapToInt(HarmExperiment.Result::failed).sum(),
        results.stream().mapToInt(HarmExperiment.Result::violations).sum());
  }

  private static double mean(
      List<HarmExperiment.Result> results, ToDoubleFunction<HarmExperiment.Result> value) {
    return results.stream().mapToDouble(value).average().orElse(0);
  }

  private static double least(
      List<HarmExperiment.Result> results, ToDoubleFunction<HarmExperiment.Result> value) {
    return results.stream().mapToDouble(value).min().orElse(0);
  }

  private static double most(
      List<HarmExperiment.Result> results, ToDoubleFunction<HarmExperiment.Result> value) {
    return results.stream().mapToDouble(value).max().orElse(0);
  }

  private static void print(Deployment deployment, List<Row> rows, int seedCount, PrintStream out) {
    out.printf(Locale.ROOT, "%s, %d seeds, virtual time%n", deployment.name(), seedCount);
    out.println(
        "policy        trouble         first token ms p50   p95   p99 (least-most)    gap p95"
            + "  items/s (least-most)  answers failed wrong");
    for (Row row : rows) {
      out.printf(
          Locale.ROOT,
          "%-13s %-15s %18.1f %6.1f %6.1f (%.1f-%.1f) %8.2f %8.1f (%.1f-%.1f) %8d %6d %5d%n",
          row.policy().name().toLowerCase(Locale.ROOT),
          row.trouble().name().toLowerCase(Locale.ROOT),
          row.p50(),
          row.p95(),
          row.p99(),
          row.p99Least(),
          row.p99Most(),
          row.gap(),
          row.items(),
          row.itemsLeast(),
          row.itemsMost(),
          row.answered(),
          row.failed(),
          row.violations());
    }
    printScores(deployment, rows, out);
  }

  /**
   * The users' scores: throughput against batch alone, and online p99 alone against p99 beside
   * batch; the deployment's more important one counts twice.
   */
  private static void printScores(Deployment deployment, List<Row> rows, PrintStream out) {
    Row alone = rows.get(Policy.ONLINE_ALONE.ordinal());
    Row batchAlone = rows.get(Policy.BATCH_ALONE.ordinal());
    boolean weighsBatch = deployment.name().equals("souq");
    for (Row row : rows) {
      boolean scored =
          row.trouble() == Trouble.NONE && row.policy().ordinal() > Policy.BATCH_ALONE.ordinal();
      if (!scored) {
        continue;
      }
      double throughput = row.items() / batchAlone.items();
      double harm = row.p99() / alone.p99();
      double gap = row.gap() / alone.gap();
      double kept = 1 / Math.max(1, harm);
      double score =
          weighsBatch
              ? (WEIGHT_HIGH * throughput + kept) / (WEIGHT_HIGH + 1)
              : (throughput + WEIGHT_HIGH * kept) / (WEIGHT_HIGH + 1);
      out.printf(
          Locale.ROOT,
          "  %-12s batch %.2f of batch alone, first token p99 %.2fx, gap p95 %.2fx, score %.3f%n",
          row.policy().name().toLowerCase(Locale.ROOT),
          throughput,
          harm,
          gap,
          score);
    }
  }
}
