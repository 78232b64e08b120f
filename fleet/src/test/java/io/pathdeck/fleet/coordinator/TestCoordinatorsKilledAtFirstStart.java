package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.adapter.CallerProtocol;
import io.pathdeck.fleet.adapter.DirectoryProtocol;
import io.pathdeck.fleet.adapter.EngineListProtocol;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.adapter.OperatorProtocol;
import io.pathdeck.fleet.engine.PlainEngineProtocol;
import io.pathdeck.fleet.store.StoreProcess;
import io.pathdeck.fleet.store.StoreSettings;
import io.pathdeck.protocol.transport.TransportTls;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a system that never forms the group of its coordinators, since all were killed
 * before they recorded the first start and were told at their next start that it was not the first.
 */
class TestCoordinatorsKilledAtFirstStart {
  private static final int COORDINATORS = 3;
  private static final long PATIENCE_MS = 20_000;

  @TempDir Path folder;

  private final Deque<FleetMemberProcess> processes = new ArrayDeque<>();
  private final List<String> seeds = new ArrayList<>();

  @BeforeEach
  void drawAddresses() throws IOException {
    for (int i = 0; i < COORDINATORS; i++) {
      seeds.add(freeAddress());
    }
  }

  @AfterEach
  void stopAll() {
    while (!processes.isEmpty()) {
      processes.pop().close();
    }
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static SettingsReader settings(String name, List<String> seeds, String... lines) {
    String common = "name: %s\nzone: z\nseeds: %s\ntolerated_losses: 0\n".formatted(name, seeds);
    return SettingsReader.parse("test", common + String.join("\n", lines), Map.of()).value();
  }

  private FleetMemberProcess startStore(boolean firstStart) throws IOException {
    SettingsReader reader =
        settings(
            "store",
            seeds,
            "listen: " + freeAddress(),
            "data_folder: " + folder.resolve("store"),
            "first_start: " + firstStart);
    StoreSettings settings = StoreSettings.read(reader).value();
    return push(StoreProcess.start(settings, TransportTls.NONE, new SilentPlatform()));
  }

  /** Starts the coordinators on empty disks, with the settings of a later start. */
  private void startCoordinators() throws IOException {
    for (int i = 0; i < COORDINATORS; i++) {
      SettingsReader reader =
          settings(
              "coordinator-" + i,
              seeds,
              "listen: " + seeds.get(i),
              "operators_listen: " + freeAddress(),
              "directory_listen: " + freeAddress(),
              "engine_list: " + freeAddress(),
              "data_folder: " + folder.resolve("coordinator-" + i),
              "first_start: false");
      CoordinatorSettings settings = CoordinatorSettings.read(reader).value();
      push(CoordinatorProcess.start(settings, TransportTls.NONE, new SilentPlatform()));
    }
  }

  private FleetMemberProcess push(Result<? extends FleetMemberProcess, ?> started) {
    processes.push(started.value());
    return started.value();
  }

  /** Only a leading coordinator gives the store a group, whose number the store saves. */
  private boolean leaderAppearsWithin(long patienceMs) throws InterruptedException {
    long endNs = System.nanoTime() + patienceMs * 1_000_000;
    while (!Files.exists(folder.resolve("store/jobs-group")) && System.nanoTime() < endNs) {
      Thread.sleep(50);
    }
    return Files.exists(folder.resolve("store/jobs-group"));
  }

  @Test
  void theyFoundTheirGroupBesideAStoreOfTheFirstStart() throws Exception {
    startStore(true);
    startCoordinators();
    assertThat(leaderAppearsWithin(PATIENCE_MS)).isTrue();
  }

  @Test
  void theyFoundTheirGroupBesideAStoreThatWasKilledToo() throws Exception {
    FleetMemberProcess store = startStore(true);
    processes.remove(store);
    store.close();
    startStore(false);
    startCoordinators();
    assertThat(leaderAppearsWithin(PATIENCE_MS)).isTrue();
  }

  /** Protocols of a platform that no caller, operator or engine uses. */
  private static final class SilentPlatform implements FleetAdapter {
    @Override
    public CallerProtocol callers() {
      return null;
    }

    @Override
    public EngineProtocol engines() {
      return new PlainEngineProtocol("none");
    }

    @Override
    public OperatorProtocol operators() {
      return null;
    }

    @Override
    public EngineListProtocol engineList() {
      return new EngineListProtocol() {
        @Override
        public String path(String page) {
          return "/engines";
        }

        @Override
        public Result<Page, String> read(byte[] body) {
          return Result.err("no list");
        }
      };
    }

    @Override
    public DirectoryProtocol directory() {
      return null;
    }
  }
}
