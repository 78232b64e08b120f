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
 * @param fleet the settings that all processes have
 * @param operatorsListen the address that serves operators
 * @param directoryListen the address that serves the directory of gateways
 * @param dataFolder the folder of the replicated log and the saved fleet state
 * @param firstStart whether this is the first start of the whole system, on empty disks
 * @param engineList the address to read the list of engines from
 * @param engineListIntervalMs the time between reads of the list of engines
 * @param namedGatewaysShare fraction of the ready gateways that the directory lists, but at least
 *     the minimum of {@link GatewaySelector}; fewer if some are larger than others
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
   * Small enough that each listed gateway gets sufficient requests to stay warm, and large enough
   * for peak load: with half of 47 gateways, a peak of 458 requests per second is 19 at each, which
   * takes 4 ms of a core per request.
   */
  private static final double DEFAULT_NAMED_SHARE = 0.5;

  /** Limits of the setting {@code named_gateways_share}. */
  private static final double MIN_NAMED_SHARE = 0.05;

  private static final double MAX_NAMED_SHARE = 1;

  /** Reads the settings, or returns the problems that {@code reader} found. */
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
