import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Many batch jobs come at once, and three times in a row some engines crash; others take their place, and are sound.
 *
 * <p>Usage: CrashedEngines ROOT RECORD. Exits with 1 if an item of an open job is not listed at the end although the
 * engines are idle.
 */
public final class CrashedEngines {
  private static final int ENGINES = 12;
  private static final int SLOTS = 17;
  private static final int EVENTS = 20;
  private static final long EVENT_MS = 100;
  private static final int ROUNDS = 5;
  private static final long ROUND_MS = 8_000;
  private static final int JOBS_PER_ROUND = 9;
  private static final int JOBS = ROUNDS * JOBS_PER_ROUND;
  private static final int ITEMS = 16;
  private static final int CRASHES = 3;
  private static final int ENGINES_PER_CRASH = 2;
  private static final long CRASH_INTERVAL_MS = 500;
  private static final long AWAY_MS = 4_500;

  /** Longer than the 20 s in which a failure excuses an item, and than finish_s. */
  private static final long WAIT_MS = 24_000;

  private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private static final Map<String, AtomicInteger> crashesBefore = new ConcurrentHashMap<>();
  private static final Map<String, AtomicInteger> crashesLater = new ConcurrentHashMap<>();
  private static final Map<String, Long> lastFailureMs = new ConcurrentHashMap<>();
  private static final Map<String, Boolean> ended = new ConcurrentHashMap<>();
  private static final AtomicInteger atEngines = new AtomicInteger();
  private static final AtomicLong lastBusyMs = new AtomicLong();
  private static final Random random = new Random(57);
  private static volatile int life = 1;

  /** Reads the prompt for a while, as after many others, and streams the events then. */
  private static void stream(Engine engine, Http.Head head, InputStream in, Socket socket) throws Exception {
    Http.readRequestBody(in, head);
    String item = head.headers().get("request-id");
    runs.computeIfAbsent(item, key -> new AtomicInteger()).incrementAndGet();
    atEngines.incrementAndGet();
    boolean began = false;
    try {
      long firstMs;
      synchronized (random) {
        firstMs = 900 + random.nextInt(400);
      }
      pause(engine, firstMs);
      Engine.write(
          socket,
          "HTTP/1.1 200 OK\r\n" + engine.stamps(head) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      began = true;
      for (long event = Engine.lastEventId(head) + 1; event <= EVENTS; event++) {
        Engine.chunk(socket, Engine.event(item, event));
        pause(engine, EVENT_MS);
      }
      Engine.write(socket, "0\r\n\r\n");
    } finally {
      if (ended.containsKey(engine.id)) {
        (began ? crashesLater : crashesBefore).computeIfAbsent(item, key -> new AtomicInteger()).incrementAndGet();
        lastFailureMs.put(item, System.currentTimeMillis());
      }
      atEngines.decrementAndGet();
      lastBusyMs.set(System.currentTimeMillis());
    }
  }

  /** Waits, unless the engine ends meanwhile. */
  private static void pause(Engine engine, long ms) throws Exception {
    long end = System.currentTimeMillis() + ms;
    while (System.currentTimeMillis() < end) {
      if (ended.containsKey(engine.id)) {
        throw new IOException("the engine has ended");
      }
      Thread.sleep(Math.max(1, Math.min(20, end - System.currentTimeMillis())));
    }
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1])), true)) {
      code = run(Path.of(arguments[0]), record, trouble);
      record.println("exit code " + code);
    }
    Runtime.getRuntime().halt(code);
  }

  private static String job(int number) {
    return String.format("7c41e09b52d6a3%02x", number);
  }

  private static String item(int job, int number) {
    return String.format("e5b2907c14da%02x%02x", job, number);
  }

  private static byte[] submission(int job) {
    StringBuilder items = new StringBuilder();
    for (int i = 0; i < ITEMS; i++) {
      String body = Base64.getEncoder().encodeToString(("list " + item(job, i)).getBytes(StandardCharsets.UTF_8));
      items
          .append(i == 0 ? "" : ",")
          .append(
              ("{\"id\":\"%s\",\"path\":\"/cards/3/%s\",\"headers\":{\"Model\":\"m\",\"Token-Count\":\"1776,246\","
                      + "\"Prompt-Prefix\":\"9c2e4%d:576,%s:1200\"},\"body\":\"%s\",\"tokens\":2022}")
                  .formatted(item(job, i), item(job, i), i % 10, item(job, i), body));
    }
    return ("{\"items\":[" + items + "]}").getBytes(StandardCharsets.UTF_8);
  }

  private static boolean submit(Fleet fleet, int job, PrintWriter record) throws InterruptedException {
    for (int attempt = 0; attempt < 20; attempt++) {
      int status =
          Http.call(
                  fleet.callers("front-" + job % 2),
                  "POST",
                  "/cards/" + job(job),
                  Map.of("Host", Engine.HOST, "Request-Id", job(job), "Content-Type", "application/json"),
                  submission(job),
                  4_000)
              .status();
      if (status == 202) {
        return true;
      }
      record.println("job " + job(job) + ": answer " + status);
      Thread.sleep(400);
    }
    return false;
  }

  /** The listed items of a job with their states. */
  private static Map<String, String> read(Fleet fleet, int job) {
    Http.Answer answer =
        Http.call(
            fleet.callers("front-" + job % 2),
            "GET",
            "/-/lots/" + job(job) + "?since_rev=0",
            Map.of("Host", Engine.HOST),
            new byte[0],
            4_000);
    Map<String, String> found = new TreeMap<>();
    Matcher result = Pattern.compile("\\{\"id\":\"([^\"]+)\",\"state\":\"(done|dead)\"").matcher(answer.body());
    while (answer.status() == 200 && result.find()) {
      found.put(result.group(1), result.group(2));
    }
    return found;
  }

  private static Engine engine(Platform platform, int number, int life) throws IOException {
    Engine engine = new Engine("i-" + number + "-" + life, Fleet.ZONES[number % 3], SLOTS, CrashedEngines::stream);
    platform.list(engine.id, "souq-lm", engine.address(), engine.zone, engine.slots, "ready");
    return engine;
  }

  /** Lets some engines crash, and some others soon after; each comes back later as another instance. */
  private static long crashes(
      Platform platform, List<Engine> engines, Random random, long beginMs, PrintWriter record)
      throws InterruptedException {
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      order.add(i);
    }
    java.util.Collections.shuffle(order, random);
    long lastMs = 0;
    for (int crash = 0; crash < CRASHES; crash++) {
      List<Integer> down = order.subList(crash * ENGINES_PER_CRASH, (crash + 1) * ENGINES_PER_CRASH);
      lastMs = System.currentTimeMillis();
      record.println((lastMs - beginMs) + " ms: engines " + down + " crash, items at engines " + atEngines.get());
      for (int number : down) {
        Engine engine = engines.get(number);
        engine.close();
        ended.put(engine.id, true);
        engine.crash();
        Daemons.start(
            () -> {
              try {
                Thread.sleep(AWAY_MS);
                platform.remove(engine.id);
                engines.set(number, engine(platform, number, ++life));
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            });
      }
      Thread.sleep(crash == CRASHES - 1 ? 0 : CRASH_INTERVAL_MS);
    }
    return lastMs;
  }

  private static int run(Path root, PrintWriter record, boolean trouble) throws IOException, InterruptedException {
    record.println(
        "disruption: "
            + (trouble ? ROUNDS + " rounds, in each " + CRASHES + " times " + ENGINES_PER_CRASH + " of " + ENGINES + " engines crash" : "none"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(root, platform.address(), 3, 3, 2)) {
      List<Engine> engines = new java.util.concurrent.CopyOnWriteArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(engine(platform, i, 1));
      }
      fleet.startAll();
      if (!Engine.awaitServing(fleet, 40_000)) {
        record.println("the fleet did not come up");
        return 2;
      }
      Thread.sleep(5_000);
      // One job is served before, as on any day.
      if (!submit(fleet, JOBS, record)) {
        return 2;
      }
      Thread.sleep(5_000);
      long beginMs = System.currentTimeMillis();
      long lastCrashMs = beginMs;
      Random random = new Random(System.nanoTime());
      for (int round = 0; round < ROUNDS; round++) {
        Thread.sleep(Math.max(0, beginMs + round * ROUND_MS - System.currentTimeMillis()));
        for (int job = round * JOBS_PER_ROUND; job < (round + 1) * JOBS_PER_ROUND; job++) {
          if (!submit(fleet, job, record)) {
            return 2;
          }
        }
        record.println((System.currentTimeMillis() - beginMs) + " ms: " + JOBS_PER_ROUND + " jobs of " + ITEMS + " items accepted");
        Thread.sleep(400);
        lastCrashMs = System.currentTimeMillis();
        if (trouble) {
          lastCrashMs = crashes(platform, engines, random, beginMs, record);
        }
      }
      Thread.sleep(Math.max(0, lastCrashMs + WAIT_MS - System.currentTimeMillis()));
      long nowMs = System.currentTimeMillis();
      long idleMs = atEngines.get() > 0 ? 0 : nowMs - lastBusyMs.get();
      record.println(
          (nowMs - beginMs) + " ms: " + platform.ids().size() + " engines are listed, items at engines "
              + atEngines.get() + ", for " + idleMs + " ms no engine had an item");
      int open = 0;
      int listed = 0;
      for (int job = 0; job < JOBS; job++) {
        Map<String, String> results = read(fleet, job);
        listed += results.size();
        for (int i = 0; i < ITEMS; i++) {
          String id = item(job, i);
          AtomicInteger none = new AtomicInteger();
          int before = crashesBefore.getOrDefault(id, none).get();
          int later = crashesLater.getOrDefault(id, none).get();
          boolean isLost = !results.containsKey(id);
          boolean isExcused = nowMs - lastFailureMs.getOrDefault(id, 0L) < 20_000 || idleMs < 5_000;
          open += isLost && !isExcused ? 1 : 0;
          if (isLost || before + later > 1) {
            record.println(
                "item " + id + " of job " + job(job) + ": runs " + runs.getOrDefault(id, none)
                    + ", engines crashed before its first event " + before + ", after it " + later
                    + ", last failure " + (nowMs - lastFailureMs.getOrDefault(id, nowMs)) + " ms ago, state "
                    + results.getOrDefault(id, "open") + (isLost && !isExcused ? "  <- LOST" : ""));
          }
        }
      }
      record.println("items listed: " + listed + " of " + JOBS * ITEMS + "; open although the engines are idle: " + open);
      if (open > 0) {
        return 1;
      }
      return listed == JOBS * ITEMS ? 0 : 2;
    }
  }
}
