import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as separate processes, started with the commands of the deploy file.
 *
 * <p>Each machine has a loopback address of its own, so the ports of all machines are alike, as on
 * the users' platform. Settings follow platform/templates.
 */
final class Fleet implements AutoCloseable {
  static final String[] ZONES = {"tanta-hall", "mansoura-hall", "zagazig-hall"};

  /** One machine with its single process. */
  static final class Machine {
    final String role;
    final String name;
    final String ip;
    final String zone;
    boolean firstStart = true;
    Process process;

    Machine(String role, String name, String ip, String zone) {
      this.role = role;
      this.name = name;
      this.ip = ip;
      this.zone = zone;
    }
  }

  private final Path root;
  private final Path folder;
  private final String engineList;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final int peerPort;
  private final int frontPort;
  private final int readinessPort;
  private final int controlPort;
  private final int directoryPort;
  private final int metricsPort;

  Fleet(Path root, String engineList, int coordinators, int stores, int gateways) throws IOException {
    this.root = root;
    this.engineList = engineList;
    this.folder = Files.createTempDirectory("review-fleet");
    int number = 10;
    for (int i = 0; i < coordinators; i++) {
      add("coordinator", "core-" + i, number++, i);
    }
    for (int i = 0; i < stores; i++) {
      add("store", "store-" + i, number++, i);
    }
    for (int i = 0; i < gateways; i++) {
      add("gateway", "front-" + i, number++, i);
    }
    List<String> ips = machines.values().stream().map(machine -> machine.ip).toList();
    List<Integer> ports = freePorts(ips, 6);
    peerPort = ports.get(0);
    frontPort = ports.get(1);
    readinessPort = ports.get(2);
    controlPort = ports.get(3);
    directoryPort = ports.get(4);
    metricsPort = ports.get(5);
  }

  private void add(String role, String name, int number, int index) {
    machines.put(name, new Machine(role, name, "127.0.0." + number, ZONES[index % ZONES.length]));
  }

  /** Ports below those of outgoing connections that are free on every address. */
  private static List<Integer> freePorts(List<String> ips, int count) {
    List<Integer> found = new ArrayList<>();
    java.util.Random random = new java.util.Random();
    while (found.size() < count) {
      int port = 12_000 + random.nextInt(20_000);
      boolean free = !found.contains(port);
      for (String ip : ips) {
        if (free) {
          try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
          } catch (IOException e) {
            free = false;
          }
        }
      }
      if (free) {
        found.add(port);
      }
    }
    return found;
  }

  Machine machine(String name) {
    return machines.get(name);
  }

  List<Machine> ofRole(String role) {
    return machines.values().stream().filter(machine -> machine.role.equals(role)).toList();
  }

  String callers(String gateway) {
    return machine(gateway).ip + ":" + frontPort;
  }

  String operators(String coordinator) {
    return machine(coordinator).ip + ":" + controlPort;
  }

  String readiness(String gateway) {
    return machine(gateway).ip + ":" + readinessPort;
  }

  private String settings(Machine machine) {
    StringBuilder seeds = new StringBuilder();
    for (Machine coordinator : ofRole("coordinator").subList(0, 3)) {
      seeds.append(seeds.length() == 0 ? "" : ",");
      seeds.append('"').append(coordinator.ip).append(':').append(controlPort).append('"');
    }
    StringBuilder zones = new StringBuilder();
    for (String zone : ZONES) {
      zones.append(zones.length() == 0 ? "" : ",").append('"').append(zone).append("\":\"nile-delta\"");
    }
    String text =
        "name: \"" + machine.name + "\"\n"
            + "zone: \"" + machine.zone + "\"\n"
            + "listen: \"" + machine.ip + ":" + peerPort + "\"\n"
            + "seeds: [" + seeds + "]\n"
            + "seed_port: " + peerPort + "\n"
            + "tolerated_losses: 1\n"
            + "tolerated_zones: 0\n"
            + "zones: {" + zones + "}\n"
            + "trusted_network: true\n"
            + "metrics_listen: \"" + machine.ip + ":" + metricsPort + "\"\n";
    if (machine.role.equals("gateway")) {
      return text
          + "callers_listen: \"" + machine.ip + ":" + frontPort + "\"\n"
          + "readiness_listen: \"" + machine.ip + ":" + readinessPort + "\"\n"
          + "cores: 0.75\n";
    }
    String durable =
        "data_folder: \"" + folder.resolve("data-" + machine.name) + "\"\n"
            + "first_start: " + machine.firstStart + "\n";
    if (machine.role.equals("store")) {
      return text + durable + "engine_drain_ms: 3000\n";
    }
    return text
        + durable
        + "operators_listen: \"" + machine.ip + ":" + controlPort + "\"\n"
        + "directory_listen: \"" + machine.ip + ":" + directoryPort + "\"\n"
        + "engine_list: \"" + engineList + "\"\n";
  }

  /** The run line of a role in the deploy file, with the settings file replaced. */
  private List<String> command(Machine machine, Path settings) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run =
        Pattern.compile("\\[roles\\." + machine.role + "\\]\\s*run = \"([^\"]+)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run line of " + machine.role);
    }
    List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
    words.set(words.indexOf("--config") + 1, settings.toString());
    return words;
  }

  void start(Machine machine) throws IOException {
    Path file = folder.resolve(machine.name + ".yaml");
    Files.writeString(file, settings(machine));
    Path log = folder.resolve(machine.name + ".log");
    machine.process =
        new ProcessBuilder(command(machine, file))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
            .start();
    machine.firstStart = false;
  }

  void startAll() throws IOException {
    for (Machine machine : machines.values()) {
      start(machine);
    }
  }

  /** Sends a signal to a process that this fleet started. */
  void signal(Machine machine, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(machine.process.pid())).start().waitFor();
  }

  /** The log of a process. */
  String log(Machine machine) throws IOException {
    Path log = folder.resolve(machine.name + ".log");
    return Files.exists(log) ? Files.readString(log) : "";
  }

  Path folder() {
    return folder;
  }

  @Override
  public void close() throws IOException {
    for (Machine machine : machines.values()) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
    for (Machine machine : machines.values()) {
      if (machine.process != null) {
        try {
          machine.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.err.println("logs are kept in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
