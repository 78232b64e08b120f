package io.pathdeck.control;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.common.settings.TlsSettings;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a controller.
 *
 * @param id this controller's position in {@code peers}, from 1
 * @param peers the addresses of all controllers, the same list on each of them
 * @param operatorListen where operators connect
 * @param partitions the number of jobs partitions; fixed for the life of the data
 * @param configurationLeaseMs how long a process may act on a configuration it heard of
 */
public record ControllerSettings(
    int id,
    String zone,
    List<HostPort> peers,
    HostPort operatorListen,
    HostPort adminListen,
    Path dataFolder,
    int partitions,
    int configurationLeaseMs,
    TlsSettings tls) {
  private static final int MAX_CONTROLLERS = 15;
  private static final int MAX_PARTITIONS = 64;

  /** Reads and checks the settings. */
  public static Result<ControllerSettings, SettingsError> read(SettingsReader reader) {
    ControllerSettings settings =
        new ControllerSettings(
            reader.integer("id", null, 1, MAX_CONTROLLERS),
            reader.string("zone"),
            reader.addresses("peers"),
            reader.address("operator_listen"),
            reader.address("admin_listen"),
            reader.path("data_folder"),
            reader.integer("partitions", 4, 1, MAX_PARTITIONS),
            reader.integer("configuration_lease_ms", 2_500, 1_000, 60_000),
            TlsSettings.read(reader));
    if (settings.id() > settings.peers().size()) {
      reader.problem("id", "must name one of the " + settings.peers().size() + " peers");
    }
    settings.tls().check(reader, settings.peers());
    return reader.finish(settings);
  }

  /** Where this controller listens for the other processes. */
  public HostPort listen() {
    return peers.get(id - 1);
  }
}
