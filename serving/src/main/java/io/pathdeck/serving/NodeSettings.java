package io.pathdeck.serving;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.common.settings.TlsSettings;
import io.pathdeck.serving.http.HttpLimits;
import java.util.List;

/**
 * The settings of a node.
 *
 * @param listen the address for callers
 * @param controllers all controllers, in the order of their IDs
 * @param requestTimeoutMs the deadline of online requests without a deadline header
 * @param engineIdleTimeoutMs the silence after which an engine's stream fails
 * @param drainTimeoutMs the maximum wait for running requests during a graceful stop
 */
public record NodeSettings(
    String id,
    String zone,
    HostPort listen,
    HostPort adminListen,
    List<HostPort> controllers,
    HttpLimits limits,
    int requestTimeoutMs,
    int engineIdleTimeoutMs,
    int drainTimeoutMs,
    TlsSettings tls) {
  private static final int MIB = 1024 * 1024;

  /** Reads and checks the settings. */
  public static Result<NodeSettings, SettingsError> read(SettingsReader reader) {
    HttpLimits limits =
        new HttpLimits(
            reader.integer("max_header_bytes", 16_384, 1_024, MIB),
            reader.integer("max_body_bytes", 4 * MIB, 1_024, 256 * MIB),
            reader.integer("max_upload_bytes", 128 * MIB, 1_024, 1_024 * MIB),
            reader.integer("max_connections", 10_000, 1, 1_000_000),
            reader.integer("read_timeout_ms", 30_000, 100, 600_000));
    NodeSettings settings =
        new NodeSettings(
            reader.string("id"),
            reader.string("zone"),
            reader.address("listen"),
            reader.address("admin_listen"),
            reader.addresses("controllers"),
            limits,
            reader.integer("request_timeout_ms", 120_000, 100, 3_600_000),
            reader.integer("engine_idle_timeout_ms", 5_000, 100, 600_000),
            reader.integer("drain_timeout_ms", 60_000, 0, 3_600_000),
            TlsSettings.read(reader));
    settings.tls().check(reader, settings.controllers());
    return reader.finish(settings);
  }
}
