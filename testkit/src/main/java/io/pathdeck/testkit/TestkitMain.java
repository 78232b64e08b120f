package io.pathdeck.testkit;

import io.pathdeck.testkit.bench.StateBench;
import io.pathdeck.testkit.engine.EngineCommand;
import io.pathdeck.testkit.load.LoadCommand;
import io.pathdeck.testkit.sim.HarmCommand;
import io.pathdeck.testkit.sim.SimCommand;
import java.util.Arrays;
import java.util.List;

/** The entry point of the stand-ins and tools: {@code testkit COMMAND [options]}. */
public final class TestkitMain {
  private static final int USAGE = 2;

  private TestkitMain() {}

  /** Runs a command and exits with its code. */
  public static void main(String[] arguments) throws InterruptedException {
    List<String> words = Arrays.asList(arguments);
    String command = words.isEmpty() ? "" : words.get(0);
    List<String> rest = words.isEmpty() ? words : words.subList(1, words.size());
    int code =
        switch (command) {
          case "engine" -> new EngineCommand().run(rest);
          case "load" -> new LoadCommand().run(rest);
          case "sim" -> new SimCommand().run(rest, System.out);
          case "state" -> new StateBench().run(rest, System.out);
          case "harm" -> new HarmCommand().run(rest, System.out);
          default -> {
            System.err.println("usage: testkit engine|load|sim|harm|state [options]");
            yield USAGE;
          }
        };
    System.exit(code);
  }
}
