import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Items of batch jobs whose engines crash in the middle of their streams; the data of some events is
 * empty.
 *
 * <p>Usage: EmptyPieces ROOT RECORD. Exits with 1 if a result is done and is not the whole output.
 */
public final class EmptyPieces {
  private static final int EVENTS = 24;
  private static final int BURST = 6;
  private static final int EMPTY_EVERY = 3;
  private static final long BURST_PAUSE_MS = 800;
  private static final int JOBS = 8;
  private static final int ITEMS = 10;
  private static final int ENGINES = 12;
  private static final int CRASHING = 2;

  private static final Map<String, Integer> runs = Collections.synchronizedMap(new HashMap<>());
  private static final Map<String, String> cuts = Collections.synchronizedMap(new HashMap<>());
  private static final List<String> crashed = new CopyOnWriteArrayList<>();
  private static final Random random = new Random(57);

  private static String data(String item, long event) {
    return event % EMPTY_EVERY == 0 ? "" : "card " + item + " line " + event;
  }

  private static String event(String item, long number) {
    return "id: " + number + "\ndata: " + data(item, number) + "\n\n";
  }

  private static String expected(String item) {
    List<String> all = new ArrayList<>();
    for (int event = 1; event <= EVENTS; event++) {
      all.add(data(item, event));
    }
    return String.join("\n", all);
  }

  /** Streams the events after the one that the request names, several at a time. */
  private static void stream(Engine engine, Http.Head head, InputStream in, Socket socket)
      throws Exception {
    Http.readRequestBody(in, head);
    String item = head.headers().get("request-id");
    runs.merge(item, 1, Integer::sum);
    long next = Engine.lastEventId(head) + 1;
    Engine.write(
        socket,
        "HTTP/1.1 200 OK\r\n" + engine.stamps(head) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    while (next <= EVENTS) {
      long last = (next + BURST - 1) / BURST * BURST;
      boolean ends = crashed.contains(engine.id);
      if (ends) {
        int more;
        synchronized (random) {
          more = random.nextInt(BURST);
        }
        last = Math.min(last, next + more - 1);
      }
      StringBuilder events = new StringBuilder();
      for (; next <= last; next++) {
        events.append(event(item, next));
      }
      if (events.length() > 0) {
        Engine.chunk(socket, events.toString());
      }
      if (ends) {
        cuts.merge(item, engine.id + " after event " + last, (one, other) -> one + ", " + other);
        socket.close();
        return;
      }
      if (next <= EVENTS) {
        Thread.sleep(BURST_PAUSE_MS);
      }
    }
    Engine.write(socket, "0\r\n\r\n");
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
                      + "\"Prompt-Prefix\":\"9c2e41:576,%s:1200\"},\"body\":\"%s\",\"tokens\":2022}")
                  .formatted(item(job, i), item(job, i), item(job, i), body));
    }
    return ("{\"items\":[" + items + "]}").getBytes(StandardCharsets.UTF_8);
  }

  private static String unescape(String json) {
    return json.replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\");
  }

  private static int run(Path root, PrintWriter record, boolean trouble)
      throws IOException, InterruptedException {
    record.println("disruption: " + (trouble ? CRASHING + " of " + ENGINES + " engines crash" : "none"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(root, platform.address(), 3, 3, 2)) {
      List<Engine> engines = new ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        Engine engine = new Engine("i-" + i, Fleet.ZONES[i % 3], 17, EmptyPieces::stream);
        engines.add(engine);
        platform.list(engine.id, "souq-lm", engine.address(), engine.zone, engine.slots, "ready");
      }
      fleet.startAll();
      if (!Engine.awaitServing(fleet, 40_000)) {
        record.println("the fleet did not come up");
        return 2;
      }
      Thread.sleep(6_000);
      for (int job = 0; job < JOBS; job++) {
        if (!submit(fleet, job, record)) {
          return 2;
        }
      }
      Thread.sleep(1_200);
      if (trouble) {
        // The sockets close as the streams notice it; the engines take no new connections from now on.
        for (int i = 0; i < CRASHING; i++) {
          crashed.add(engines.get(i).id);
          engines.get(i).close();
        }
      }
      int broken = 0;
      int done = 0;
      long end = System.currentTimeMillis() + 40_000;
      Map<String, String> results = new TreeMap<>();
      while (results.size() < JOBS * ITEMS && System.currentTimeMillis() < end) {
        Thread.sleep(500);
        results.clear();
        for (int job = 0; job < JOBS; job++) {
          results.putAll(read(fleet, job));
        }
      }
      for (int job = 0; job < JOBS; job++) {
        for (int i = 0; i < ITEMS; i++) {
          String id = item(job, i);
          String text = results.get(id);
          boolean isWhole = text != null && text.equals(expected(id));
          done += text == null ? 0 : 1;
          broken += text != null && !isWhole ? 1 : 0;
          record.println(
              "item " + id + ": runs " + runs.getOrDefault(id, 0) + ", cut off at " + cuts.getOrDefault(id, "no engine")
                  + "; result "
                  + (text == null
                      ? "none"
                      : isWhole
                          ? "whole"
                          : "done, lines " + text.split("\n", -1).length + " of " + EVENTS + "  <- MIXED"));
        }
      }
      record.println("items done: " + done + " of " + JOBS * ITEMS + "; done with a text that is not the whole output: " + broken);
      if (broken > 0) {
        return 1;
      }
      boolean worked = done == JOBS * ITEMS && (!trouble || !cuts.isEmpty());
      return worked ? 0 : 2;
    }
  }

  private static boolean submit(Fleet fleet, int job, PrintWriter record) throws InterruptedException {
    for (int attempt = 0; attempt < 20; attempt++) {
      Http.Answer answer =
          Http.call(
              fleet.callers("front-" + job % 2),
              "POST",
              "/cards/" + job(job),
              Map.of("Host", Engine.HOST, "Request-Id", job(job), "Content-Type", "application/json"),
              submission(job),
              4_000);
      record.println("job " + job(job) + ": submitted, answer " + answer.status());
      if (answer.status() == 202) {
        return true;
      }
      Thread.sleep(500);
    }
    return false;
  }

  /** The results of a job that are done, by item. */
  private static Map<String, String> read(Fleet fleet, int job) {
    Http.Answer answer =
        Http.call(
            fleet.callers("front-" + job % 2),
            "GET",
            "/-/lots/" + job(job) + "?since_rev=0",
            Map.of("Host", Engine.HOST),
            new byte[0],
            4_000);
    Map<String, String> found = new HashMap<>();
    Matcher result =
        Pattern.compile("\\{\"id\":\"([^\"]+)\",\"state\":\"done\",\"text\":\"((?:[^\"\\\\]|\\\\.)*)\"\\}")
            .matcher(answer.body());
    while (answer.status() == 200 && result.find()) {
      found.put(result.group(1), unescape(result.group(2)));
    }
    return found;
  }
}
