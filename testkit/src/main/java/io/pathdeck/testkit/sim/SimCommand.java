package io.pathdeck.testkit.sim;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code bin/sim}: runs seeds and reports broken promises. */
public final class SimCommand {
  private static final int USAGE = 2;
  private static final int VIOLATED = 1;
  private static final int MAX_SHOWN = 10;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Long> seeds =
      parser
          .accepts("seeds", "how many seeds")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(20L);
  private final OptionSpec<Long> firstSeed =
      parser
          .accepts("first-seed", "the first seed")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(1L);
  private final OptionSpec<String> scenario =
      parser.accepts("scenario", "one scenario instead of all in turn").withRequiredArg();
  private final OptionSpec<String> defect =
      parser.accepts("planted-defect", "a deliberate defect").withRequiredArg();
  private final OptionSpec<Void> list = parser.accepts("list", "list scenarios and defects");
  private final OptionSpec<Void> digests = parser.accepts("digests", "print every run's digest");
  private final OptionSpec<Void> help = parser.accepts("help").forHelp();

  /** Runs the command; returns the exit code. */
  public int run(List<String> arguments, PrintStream out) {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      out.println(e.getMessage());
      return USAGE;
    }
    if (options.has(help)) {
      printHelp(out);
      return 0;
    }
    if (options.has(list)) {
      printList(out);
      return 0;
    }
    Defect planted = Defect.NONE;
    if (options.has(defect)) {
      planted = Defect.parse(options.valueOf(defect)).orElse(null);
    }
    Scenario only = null;
    if (options.has(scenario)) {
      only = Scenario.parse(options.valueOf(scenario)).orElse(null);
    } else if (planted != null && planted != Defect.NONE) {
      only = planted.scenario();
    }
    if (planted == null || (options.has(scenario) && only == null)) {
      out.println("unknown scenario or defect; see --list");
      return USAGE;
    }
    return runSeeds(options, only, planted, out);
  }

  private void printHelp(PrintStream out) {
    try {
      parser.printHelpOn(out);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static void printList(PrintStream out) {
    out.println("scenarios:");
    for (Scenario each : Scenario.values()) {
      out.printf(Locale.ROOT, "  %-20s %s%n", each.optionName(), each.description());
    }
    out.println("planted defects (run with --planted-defect):");
    for (Defect each : Defect.values()) {
      if (each != Defect.NONE) {
        out.printf(
            Locale.ROOT,
            "  %-34s %s (%s)%n",
            each.optionName(),
            each.description(),
            each.scenario().optionName());
      }
    }
  }

  /** The scenario of a seed when none is given: all in turn, mixed ones most often. */
  public static Scenario scenarioOf(long seed) {
    Scenario[] all = Scenario.values();
    return seed % 3 == 0 ? Scenario.MIXED : all[(int) (seed % all.length)];
  }

  private int runSeeds(OptionSet options, Scenario only, Defect planted, PrintStream out) {
    long first = options.valueOf(firstSeed);
    long count = options.valueOf(seeds);
    List<SimRun.Outcome> outcomes =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(
                seed -> new SimRun(seed, only == null ? scenarioOf(seed) : only, planted).run())
            .toList();
    return report(outcomes, options.has(digests), out);
  }

  private static int report(List<SimRun.Outcome> outcomes, boolean withDigests, PrintStream out) {
    Map<String, Integer> faults = new TreeMap<>();
    List<SimRun.Outcome> failed = new ArrayList<>();
    long digest = 0;
    long answered = 0;
    for (SimRun.Outcome outcome : outcomes) {
      outcome.faults().forEach((kind, number) -> faults.merge(kind, number, Integer::sum));
      digest = digest * 31 + outcome.digest();
      answered += outcome.answered();
      if (!outcome.isClean()) {
        failed.add(outcome);
      }
      if (withDigests) {
        out.printf(Locale.ROOT, "seed %d digest %016x%n", outcome.seed(), outcome.digest());
      }
    }
    faults.forEach(
        (kind, number) ->
            out.printf(
                Locale.ROOT, "faults        %-20s %d%n", kind.toLowerCase(Locale.ROOT), number));
    for (SimRun.Outcome outcome : failed.subList(0, Math.min(MAX_SHOWN, failed.size()))) {
      out.printf(
          Locale.ROOT,
          "violated      seed %d scenario %s: %s%n",
          outcome.seed(),
          outcome.scenario().optionName(),
          outcome.violations().get(0));
    }
    out.printf(
        Locale.ROOT,
        "seeds         %d run, %d violated, %d online answers, digest %016x%n",
        outcomes.size(),
        failed.size(),
        answered,
        digest);
    return failed.isEmpty() ? 0 : VIOLATED;
  }
}
