package io.pathdeck.cli;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.common.settings.TlsSettings;
import io.pathdeck.consensus.storage.Disk;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.control.ControllerProcess;
import io.pathdeck.control.ControllerSettings;
import io.pathdeck.dispatch.DispatcherProcess;
import io.pathdeck.dispatch.DispatcherSettings;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.coordinator.CoordinatorProcess;
import io.pathdeck.fleet.coordinator.CoordinatorSettings;
import io.pathdeck.fleet.gateway.GatewayProcess;
import io.pathdeck.fleet.gateway.GatewaySettings;
import io.pathdeck.fleet.store.StoreProcess;
import io.pathdeck.fleet.store.StoreSettings;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.NodeProcess;
import io.pathdeck.serving.NodeSettings;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import javax.net.ssl.SSLException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.logging.log4j.LogManager;

/** Starts a role and stops it as planned on SIGTERM. */
final class RoleCommand {
  private static final EventLog EVENTS = EventLog.of(RoleCommand.class);

  private final String role;
  private final PrintStream out;
  private final PrintStream err;
  private final Disk disk;

  /** What SIGHUP does; nothing until the process has started. */
  private volatile Runnable onHangup = () -> {};

  private Path settingsFile;
  private Map<String, String> settingsOverrides = Map.of();

  RoleCommand(String role, PrintStream out, PrintStream err, Disk disk) {
    this.role = role;
    this.out = out;
    this.err = err;
    this.disk = disk;
  }

  ExitCode run(List<String> arguments) {
    OptionParser parser = new OptionParser();
    OptionSpec<String> config =
        parser.accepts("config", "the settings file").withRequiredArg().required();
    OptionSpec<String> set =
        parser.accepts("set", "KEY=VALUE replaces a key of the file").withRequiredArg();
    parser.acceptsAll(List.of("help", "h"), "prints this text").forHelp();
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
      if (options.has("help")) {
        out.println("pathdeck " + role + " --config FILE [--set KEY=VALUE ...]");
        parser.printHelpOn(out);
        return ExitCode.OK;
      }
    } catch (OptionException | IOException e) {
      err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    Map<String, String> overrides = new HashMap<>();
    for (String assignment : options.valuesOf(set)) {
      int equals = assignment.indexOf('=');
      if (equals < 1) {
        err.println("--set: expected KEY=VALUE, found " + assignment);
        return ExitCode.USAGE;
      }
      overrides.put(assignment.substring(0, equals), assignment.substring(equals + 1));
    }
    return start(Path.of(options.valueOf(config)), overrides);
  }

  private ExitCode start(Path file, Map<String, String> overrides) {
    settingsFile = file;
    settingsOverrides = overrides;
    HangupSignal.onHangup(() -> onHangup.run());
    Thread.setDefaultUncaughtExceptionHandler(new FatalErrors(RoleCommand::halt));
    Result<SettingsReader, SettingsError> reader = SettingsReader.open(file, overrides);
    if (!reader.isOk()) {
      return rejectSettings(reader.error());
    }
    try {
      return switch (role) {
        case "node" -> startNode(reader.value());
        case "controller" -> startController(reader.value());
        case "gateway" -> startGateway(reader.value());
        case "coordinator" -> startCoordinator(reader.value());
        case "store" -> startStore(reader.value());
        default -> startDispatcher(reader.value());
      };
    } catch (SSLException | RuntimeException e) {
      err.println("cannot start: " + e.getMessage());
      return ExitCode.FAILURE;
    }
  }

  private ExitCode rejectSettings(SettingsError error) {
    err.println(error);
    EVENTS.log(EventCode.SETTINGS_REJECTED, "problems", error.problems().size());
    return ExitCode.USAGE;
  }

  private ExitCode startNode(SettingsReader reader) throws SSLException {
    Result<NodeSettings, SettingsError> settings = NodeSettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    runUntilStopped(NodeProcess.start(settings.value(), tls(settings.value().tls())));
    return ExitCode.OK;
  }

  private ExitCode startDispatcher(SettingsReader reader) throws SSLException {
    Result<DispatcherSettings, SettingsError> settings = DispatcherSettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    runUntilStopped(DispatcherProcess.start(settings.value(), tls(settings.value().tls())));
    return ExitCode.OK;
  }

  private ExitCode startController(SettingsReader reader) throws SSLException {
    Result<ControllerSettings, SettingsError> settings = ControllerSettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    Result<ControllerProcess, StorageError> process =
        ControllerProcess.start(settings.value(), tls(settings.value().tls()));
    return runOrExplain(process);
  }

  private ExitCode startGateway(SettingsReader reader) throws SSLException {
    Result<GatewaySettings, SettingsError> settings = GatewaySettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    TransportTls tls = tls(warnIfPlain(settings.value().fleet()));
    FleetAdapter adapter = FleetAdapter.load();
    StopSignal stopSignal = StopSignal.install();
    try {
      GatewayProcess process = GatewayProcess.start(settings.value(), tls, adapter);
      reloadOnHangup(process, reread -> GatewaySettings.read(reread).map(GatewaySettings::fleet));
      stopSignal.runUntilStopped(process::stop);
    } finally {
      stopSignal.onStartEnded();
    }
    return ExitCode.OK;
  }

  private ExitCode startCoordinator(SettingsReader reader) throws SSLException {
    Result<CoordinatorSettings, SettingsError> settings = CoordinatorSettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    TlsSettings tls = warnIfPlain(settings.value().fleet());
    Result<CoordinatorProcess, StorageError> process =
        CoordinatorProcess.start(settings.value(), tls(tls), FleetAdapter.load(), disk);
    if (process.isOk()) {
      reloadOnHangup(
          process.value(),
          reread -> CoordinatorSettings.read(reread).map(CoordinatorSettings::fleet));
    }
    return runOrExplain(process);
  }

  private ExitCode startStore(SettingsReader reader) throws SSLException {
    Result<StoreSettings, SettingsError> settings = StoreSettings.read(reader);
    if (!settings.isOk()) {
      return rejectSettings(settings.error());
    }
    TlsSettings tls = warnIfPlain(settings.value().fleet());
    Result<StoreProcess, StorageError> process =
        StoreProcess.start(settings.value(), tls(tls), FleetAdapter.load(), disk);
    if (process.isOk()) {
      reloadOnHangup(
          process.value(), reread -> StoreSettings.read(reread).map(StoreSettings::fleet));
    }
    return runOrExplain(process);
  }

  /** Reads the settings again on SIGHUP; a file that is wrong changes nothing. */
  private void reloadOnHangup(
      FleetMemberProcess process,
      Function<SettingsReader, Result<FleetSettings, SettingsError>> read) {
    onHangup =
        () -> {
          Result<SettingsReader, SettingsError> reader =
              SettingsReader.open(settingsFile, settingsOverrides);
          Result<FleetSettings, SettingsError> settings =
              reader.isOk() ? read.apply(reader.value()) : Result.err(reader.error());
          if (settings.isOk()) {
            process.reload(settings.value());
          } else {
            rejectSettings(settings.error());
          }
        };
  }

  private static TlsSettings warnIfPlain(FleetSettings fleet) {
    if (!fleet.tls().isEnabled() && !fleet.listen().isLoopback()) {
      EVENTS.log(EventCode.NETWORK_TRUSTED, "listen", fleet.listen());
    }
    return fleet.tls();
  }

  private ExitCode runOrExplain(Result<? extends AutoCloseable, StorageError> process) {
    if (!process.isOk()) {
      err.println("cannot start: " + process.error());
      return ExitCode.FAILURE;
    }
    runUntilStopped(process.value());
    return ExitCode.OK;
  }

  private static TransportTls tls(TlsSettings settings) throws SSLException {
    return settings.isEnabled()
        ? TransportTls.load(settings.certificate(), settings.key(), settings.authority())
        : TransportTls.NONE;
  }

  /** Ends the process at once, once its log lines are written. */
  static void halt(int code) {
    LogManager.shutdown();
    Runtime.getRuntime().halt(code);
  }

  private static void runUntilStopped(AutoCloseable process) {
    StopSignal.install().runUntilStopped(signaledNs -> process.close());
  }
}
