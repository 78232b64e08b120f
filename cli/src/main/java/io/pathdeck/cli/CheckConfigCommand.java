package io.pathdeck.cli;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.control.ControllerSettings;
import io.pathdeck.dispatch.DispatcherSettings;
import io.pathdeck.fleet.coordinator.CoordinatorSettings;
import io.pathdeck.fleet.gateway.GatewaySettings;
import io.pathdeck.fleet.store.StoreSettings;
import io.pathdeck.serving.NodeSettings;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Checks a settings file; which role it is for is told by its keys. */
final class CheckConfigCommand {
  private static final String USAGE =
      """
      usage: pathdeck check-config FILE

      Checks a settings file of a role, or a declaration; which of them it is its keys tell.
      Every problem is printed.
      exit codes: 0 valid, 2 not valid or cannot be read
      """;

  private final PrintStream out;
  private final PrintStream err;

  CheckConfigCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  ExitCode run(List<String> arguments) {
    if (arguments.contains("--help") || arguments.contains("-h")) {
      out.print(USAGE);
      return ExitCode.OK;
    }
    if (arguments.size() != 1 || arguments.get(0).startsWith("-")) {
      err.print(USAGE);
      return ExitCode.USAGE;
    }
    Path file = Path.of(arguments.get(0));
    Result<SettingsReader, SettingsError> reader = SettingsReader.open(file, Map.of());
    if (!reader.isOk()) {
      err.println(reader.error());
      return ExitCode.USAGE;
    }
    if (reader.value().has("tenants") || reader.value().has("services")) {
      return checkDeclaration(file);
    }
    if (reader.value().has("callers_listen")) {
      return check("gateway", file, reader.value(), GatewaySettings::read);
    }
    if (reader.value().has("operators_listen")) {
      return check("coordinator", file, reader.value(), CoordinatorSettings::read);
    }
    if (reader.value().has("seeds")) {
      return check("store", file, reader.value(), StoreSettings::read);
    }
    if (reader.value().has("peers")) {
      return check("controller", file, reader.value(), ControllerSettings::read);
    }
    if (reader.value().has("listen")) {
      return check("node", file, reader.value(), NodeSettings::read);
    }
    return check("dispatcher", file, reader.value(), DispatcherSettings::read);
  }

  private <T> ExitCode check(
      String role,
      Path file,
      SettingsReader reader,
      Function<SettingsReader, Result<T, SettingsError>> read) {
    Result<T, SettingsError> settings = read.apply(reader);
    if (!settings.isOk()) {
      err.println(settings.error());
      return ExitCode.USAGE;
    }
    out.println(file + ": valid settings of a " + role);
    return ExitCode.OK;
  }

  private ExitCode checkDeclaration(Path file) {
    var declaration = DeclarationFile.read(file);
    if (!declaration.isOk()) {
      err.println(declaration.error());
      return ExitCode.USAGE;
    }
    out.println(file + ": valid declaration");
    return ExitCode.OK;
  }
}
