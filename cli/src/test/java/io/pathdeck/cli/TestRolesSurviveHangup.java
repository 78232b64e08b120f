package io.pathdeck.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Each role of a fleet, as a process of its own, reads its settings again on SIGHUP and lives on.
 */
class TestRolesSurviveHangup {
  private static final long PATIENCE_MS = 60_000;
  private static final int PORTS = 6;

  @TempDir Path folder;

  private static List<String> freeAddresses() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < PORTS; i++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      addresses.add("127.0.0.1:" + socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return addresses;
  }

  private void survivesHangup(String role, String ownSettings, List<String> addresses)
      throws Exception {
    Path settings = folder.resolve(role + ".yaml");
    Path log = folder.resolve(role + ".log");
    Files.writeString(
        settings,
        "name: n\nzone: z\nlisten: %s\nseeds: [%s]\ntolerated_losses: 0\n%s"
            .formatted(addresses.get(0), addresses.get(1), ownSettings));
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "io.pathdeck.cli.PathdeckMain",
                role,
                "--config",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start();
    try {
      awaitLine(process, log, "\"event\":\"process-started\"");
      // The handler is set just after the start; a signal before it would end the process.
      Thread.sleep(500);
      new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
      awaitLine(process, log, "\"event\":\"settings-reloaded\"");
      assertThat(process.isAlive()).isTrue();
    } finally {
      process.destroy();
      if (!process.waitFor(10, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    }
  }

  private static void awaitLine(Process process, Path log, String part) throws Exception {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (!Files.readString(log).contains(part)) {
      assertThat(process.isAlive()).as(Files.readString(log)).isTrue();
      assertThat(System.nanoTime()).as(Files.readString(log)).isLessThan(endNs);
      Thread.sleep(50);
    }
  }

  @Test
  void coordinator() throws Exception {
    List<String> addresses = freeAddresses();
    String own =
        "operators_listen: %s\ndirectory_listen: %s\nengine_list: %s\ndata_folder: %s\nfirst_start: true\n"
            .formatted(
                addresses.get(2), addresses.get(3), addresses.get(4), folder.resolve("data"));
    survivesHangup("coordinator", own, addresses);
  }

  @Test
  void store() throws Exception {
    String own = "data_folder: %s\nfirst_start: true\n".formatted(folder.resolve("data"));
    survivesHangup("store", own, freeAddresses());
  }

  @Test
  void gateway() throws Exception {
    List<String> addresses = freeAddresses();
    String own =
        "callers_listen: %s\nreadiness_listen: %s\ndrain_min_ms: 0\n"
            .formatted(addresses.get(2), addresses.get(3));
    survivesHangup("gateway", own, addresses);
  }
}
