package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.fleet.FleetSettings;
import java.nio.file.Path;

/**
 * Settings of a coordinator.
 *
 * @param operatorsListen address for operators
 * @param directoryListen address of the directory of gateways
 * @param firstStart whether this is the first start of the whole system, on empty disks
 * @param namedGatewaysShare fraction of the ready gateways that the directory lists if there are
 *     many
 * @param engineList address of the list of engines
 */
public record CoordinatorSettings(
    FleetSettings fleet,
    HostPort operatorsListen,
    HostPort directoryListen,
    Path dataFolder,
    boolean firstStart,
    HostPort engineList,
    int engineListIntervalMs,
    double namedGatewaysShare) {
  private static final int DEFAULT_ENGINE_LIST_INTERVAL_MS = 800;

  /**
   * Few enough that each gateway gets sufficient requests to stay warm, and enough for peak load.
   */
  private static final double DEFAULT_NAMED_SHARE = 0.5;

  private static final double MIN_NAMED_SHARE = 0.05;
  private static final double MAX_NAMED_SHARE = 1;

  /** Reads and validates the settings. */
  public static Result<CoordinatorSettings, SettingsError> read(SettingsReader reader) {
    CoordinatorSettings settings =
        new CoordinatorSettings(
            FleetSettings.read(reader),
            reader.address("operators_listen"),
            reader.address("directory_listen"),
            reader.path("data_folder"),
            reader.bool("first_start", false),
            reader.address("engine_list"),
            reader.integer("engine_list_interval_ms", DEFAULT_ENGINE_LIST_INTERVAL_MS, 100, 10_000),
            reader.decimal(
                "named_gateways_share", DEFAULT_NAMED_SHARE, MIN_NAMED_SHARE, MAX_NAMED_SHARE));
    return reader.finish(settings);
  }
}
