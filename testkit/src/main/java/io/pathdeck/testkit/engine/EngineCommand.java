package io.pathdeck.testkit.engine;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** {@code testkit engine}: runs one or more emulated engines in a process. */
public final class EngineCommand {
  private static final int USAGE = 2;
  private static final int NETWORK_THREADS = 2;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> listen =
      parser.accepts("listen").withRequiredArg().withValuesSeparatedBy(',').required();
  private final OptionSpec<String> set = parser.accepts("set").withRequiredArg();
  private final OptionSpec<String> runs =
      parser.accepts("runs", "a file for the record of runs").withRequiredArg();
  private final OptionSpec<Void> noPriority = parser.accepts("ignore-priority");

  /** Runs until the process is stopped; returns early with an exit code on wrong usage. */
  public int run(List<String> arguments) throws InterruptedException {
    OptionSet options;
    try {
      options = parser.parse(arguments.toArray(new String[0]));
    } catch (OptionException e) {
      System.err.println(e.getMessage());
      return USAGE;
    }
    Map<String, String> overrides = new HashMap<>();
    for (String assignment : options.valuesOf(set)) {
      String[] parts = assignment.split("=", 2);
      overrides.put(parts[0], parts.length == 2 ? parts[1] : "");
    }
    SettingsReader reader = SettingsReader.parse("--set", "", overrides).value();
    Result<EngineProfile, SettingsError> profile = reader.finish(EngineProfile.read(reader));
    if (!profile.isOk()) {
      System.err.println(profile.error());
      return USAGE;
    }
    EventLoopGroup eventLoops = EventLoops.create(NETWORK_THREADS);
    Path runsFile = options.has(runs) ? Path.of(options.valueOf(runs)) : null;
    for (String address : options.valuesOf(listen)) {
      new EmulatedEngine(
          address,
          HostPort.parse(address).orElseThrow(),
          profile.value(),
          !options.has(noPriority),
          runsFile,
          eventLoops);
    }
    Thread.currentThread().join();
    return 0;
  }
}
