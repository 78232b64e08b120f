package io.pathdeck.cli;

import io.pathdeck.common.duty.ProcessStart;
import io.pathdeck.common.events.EventLogConfiguration;
import io.pathdeck.consensus.storage.Disk;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

/** The entry point: {@code pathdeck ROLE [options]}. */
public final class PathdeckMain {
  private static final String USAGE =
      """
      usage: pathdeck ROLE [options]

      roles
        node          serves callers beside it       --config FILE [--set KEY=VALUE ...]
        controller    holds the durable state        --config FILE [--set KEY=VALUE ...]
        dispatcher    runs batch items               --config FILE [--set KEY=VALUE ...]
        gateway       forwards to a fleet's engines  --config FILE [--set KEY=VALUE ...]
        coordinator   keeps a fleet's configuration  --config FILE [--set KEY=VALUE ...]
        store         keeps a fleet's batch jobs     --config FILE [--set KEY=VALUE ...]
        ctl           drives a fleet as an operator  COMMAND [options]
        check-config  checks a settings file         FILE
        explain       shows the story of a request   --logs FILE|DIR ... --request ID

      pathdeck ROLE --help describes a role.
      """;

  private PathdeckMain() {}

  /** Runs the command line and exits with its code unless a role keeps running. */
  public static void main(String[] arguments) {
    runOnDisk(arguments, Disk.LOCAL);
  }

  /** Runs the command line; coordinators and stores keep their data on {@code disk}. */
  public static void runOnDisk(String[] arguments, Disk disk) {
    ProcessStart.mark();
    ExitCode code = run(Arrays.asList(arguments), System.out, System.err, disk);
    if (code != ExitCode.OK) {
      System.exit(code.value());
    }
  }

  static ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
    return run(arguments, out, err, Disk.LOCAL);
  }

  private static ExitCode run(List<String> arguments, PrintStream out, PrintStream err, Disk disk) {
    if (arguments.isEmpty()) {
      err.print(USAGE);
      return ExitCode.USAGE;
    }
    List<String> rest = arguments.subList(1, arguments.size());
    return switch (arguments.get(0)) {
      case "--help", "-h", "help" -> {
        out.print(USAGE);
        yield ExitCode.OK;
      }
      case "ctl" -> new OperatorCommand(out, err).run(rest);
      case "explain" -> new ExplainCommand(out, err).run(rest);
      case "check-config" -> new CheckConfigCommand(out, err).run(rest);
      case "gateway", "coordinator", "store" -> {
        System.setProperty(EventLogConfiguration.TARGET_PROPERTY, "SYSTEM_OUT");
        yield runRole(arguments.get(0), rest, out, err, disk);
      }
      case "node", "controller", "dispatcher" -> runRole(arguments.get(0), rest, out, err, disk);
      default -> {
        err.println("unknown role: " + arguments.get(0));
        err.print(USAGE);
        yield ExitCode.USAGE;
      }
    };
  }

  private static ExitCode runRole(
      String role, List<String> arguments, PrintStream out, PrintStream err, Disk disk) {
    EventLogConfiguration.install();
    return new RoleCommand(role, out, err, disk).run(arguments);
  }
}
