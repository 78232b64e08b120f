package io.pathdeck.fleet;

import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.common.settings.TlsSettings;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.transport.FrameCompression;
import java.util.List;
import java.util.Optional;

/**
 * Settings that all processes of a fleet have.
 *
 * @param name the unique name of the machine
 * @param zone the zone of the machine
 * @param listen the address at which other processes reach this one
 * @param seeds addresses of coordinators to contact first
 * @param toleratedLosses how many machines with data may be lost at once
 * @param toleratedZones how many zones may be lost at once
 * @param topology the zones of the fleet and their regions
 * @param limitWindowMs time window of the tenants' rate limits
 * @param peerCompression which frames to other processes are compressed
 * @param metricsListen the address that serves metrics; empty to serve none
 * @param tls the PEM files for TLS between processes; disabled without them
 */
public record FleetSettings(
    String name,
    String zone,
    HostPort listen,
    List<HostPort> seeds,
    int toleratedLosses,
    int toleratedZones,
    Topology topology,
    long limitWindowMs,
    FrameCompression peerCompression,
    Optional<HostPort> metricsListen,
    TlsSettings tls) {
  private static final int MAX_TOLERATED_LOSSES = 4;
  private static final int MAX_TOLERATED_ZONES = 2;
  private static final int MAX_COMPRESS_FROM_BYTES = 1024 * 1024;
  private static final int MAX_PORT = 65_535;
  private static final double DEFAULT_LIMIT_WINDOW_S = 5;
  private static final double MIN_LIMIT_WINDOW_S = 0.5;
  private static final double MAX_LIMIT_WINDOW_S = 3_600;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Reads the settings; {@code reader} collects the problems. */
  public static FleetSettings read(SettingsReader reader) {
    int seedPort = reader.integer("seed_port", 0, 0, MAX_PORT);
    List<HostPort> seeds =
        reader.addresses("seeds").stream()
            .map(seed -> seedPort == 0 ? seed : new HostPort(seed.host(), seedPort))
            .toList();
    FleetSettings settings =
        new FleetSettings(
            reader.string("name"),
            reader.string("zone"),
            reader.address("listen"),
            seeds,
            reader.integer("tolerated_losses", 1, 0, MAX_TOLERATED_LOSSES),
            reader.integer("tolerated_zones", 0, 0, MAX_TOLERATED_ZONES),
            Topology.of(reader.textMap("zones")),
            limitWindowMs(reader),
            peerCompression(reader),
            reader.has("metrics_listen")
                ? Optional.of(reader.address("metrics_listen"))
                : Optional.empty(),
            TlsSettings.read(reader));
    boolean zoneUnknown =
        !settings.topology().zones().isEmpty() && !settings.topology().hasZone(settings.zone());
    if (zoneUnknown) {
      reader.problem("zones", "must name the zone " + settings.zone());
    }
    boolean trusted = reader.bool("trusted_network", false);
    boolean loopback = settings.listen().isLoopback();
    if (!loopback && !trusted && !settings.tls().isEnabled()) {
      reader.problem(
          "trusted_network", "must be true, or TLS must be set, for addresses beyond loopback");
    }
    return settings;
  }

  private static long limitWindowMs(SettingsReader reader) {
    double seconds =
        reader.decimal(
            "limit_window_s", DEFAULT_LIMIT_WINDOW_S, MIN_LIMIT_WINDOW_S, MAX_LIMIT_WINDOW_S);
    return Math.round(seconds * MILLIS_PER_SECOND);
  }

  private static FrameCompression peerCompression(SettingsReader reader) {
    return new FrameCompression(
        reader.integer("compress_peer_frames_from_bytes", 0, 0, MAX_COMPRESS_FROM_BYTES));
  }

  public List<String> seedAddresses() {
    return seeds.stream().map(HostPort::toString).toList();
  }

  /** Returns the smallest size of a group that keeps a quorum after the tolerated losses. */
  public int minGroupSize() {
    return 2 * toleratedLosses + 1;
  }
}
