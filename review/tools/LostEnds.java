import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers without a length whose engines crash while links lose packets.
 *
 * <p>Usage: LostEnds ROOT RECORD. Exits with 1 if a client took a part of an answer for complete.
 */
public final class LostEnds {
  private static final int ENGINES = 15;
  private static final int EVENTS = 9;
  private static final long PAUSE_MS = 120;
  private static final int CLIENTS = 120;
  private static final int CRASHES = 10;
  private static final long AWAY_MS = 4_400;
  private static final double LOSS = 0.025;
  private static final long AGAIN_MS = 220;

  private static final Map<String, String> cut = new ConcurrentHashMap<>();
  private static final Map<String, Boolean> ended = new ConcurrentHashMap<>();
  private static volatile boolean over;

  private static void stream(Engine engine, Http.Head head, InputStream in, Socket socket) throws Exception {
    Http.readRequestBody(in, head);
    String request = head.headers().get("request-id");
    Engine.write(
        socket,
        "HTTP/1.1 200 OK\r\n" + engine.stamps(head) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      Thread.sleep(PAUSE_MS);
      if (ended.containsKey(engine.id)) {
        cut.put(request, engine.id + " after event " + (event - 1));
        // The crash ends the connection.
        Thread.sleep(2_000);
        return;
      }
      Engine.write(socket, Engine.event(request, event));
    }
    socket.shutdownOutput();
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

  private static Engine engine(Platform platform, int number, int life) throws IOException {
    Engine engine = new Engine("i-" + number + "-" + life, Fleet.ZONES[number % 3], 12, LostEnds::stream);
    platform.list(engine.id, "souq-lm", engine.address(), engine.zone, engine.slots, "ready");
    return engine;
  }

  private static String expected(String request) {
    StringBuilder all = new StringBuilder();
    for (int event = 1; event <= EVENTS; event++) {
      all.append(Engine.event(request, event));
    }
    return all.toString();
  }

  private static int run(Path root, PrintWriter record, boolean trouble) throws IOException, InterruptedException {
    record.println(
        "disruption: "
            + (trouble ? CRASHES + " times 2 of " + ENGINES + " engines crash, links to one zone lose packets" : "none"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(root, platform.address(), 3, 3, 2)) {
      List<Engine> engines = new CopyOnWriteArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        engines.add(engine(platform, i, 1));
      }
      fleet.startAll();
      if (!Engine.awaitServing(fleet, 40_000)) {
        record.println("the fleet did not come up");
        return 2;
      }
      Thread.sleep(4_000);
      AtomicInteger next = new AtomicInteger();
      AtomicInteger whole = new AtomicInteger();
      AtomicInteger seenBroken = new AtomicInteger();
      List<String> broken = new CopyOnWriteArrayList<>();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int client = i;
        Thread thread =
            Daemons.thread(
                () -> {
                  while (!over) {
                    String request = String.format("9c41d07b%08x", next.incrementAndGet());
                    Http.Answer answer =
                        Http.call(
                            fleet.callers("front-" + client % 2),
                            "POST",
                            "/digest/" + request,
                            Map.of(
                                "Host", Engine.HOST, "Request-Id", request, "Model", "m", "Token-Count", "9190,80",
                                "Prompt-Prefix", request + ":9190", "Deadline-Ms", "4000"),
                            request.getBytes(StandardCharsets.UTF_8),
                            6_000);
                    boolean complete = answer.status() == 200 && answer.complete();
                    if (complete && answer.body().equals(expected(request))) {
                      whole.incrementAndGet();
                    } else if (complete) {
                      broken.add(request);
                      record.println(
                          "request " + request + ": the engine was cut off: " + cut.get(request)
                              + "; client: status 200, answer whole, events "
                              + (answer.body().split("id: ", -1).length - 1) + " of " + EVENTS + "  <- MIXED");
                    } else {
                      seenBroken.incrementAndGet();
                    }
                  }
                });
        thread.start();
        clients.add(thread);
      }
      Thread.sleep(3_000);
      Random random = new Random(System.nanoTime());
      int life = 1;
      for (int crash = 0; crash < CRASHES; crash++) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
          order.add(i);
        }
        Collections.shuffle(order, random);
        life++;
        if (trouble) {
          String lossy = engines.get(order.get(0)).zone;
          for (int number : order.subList(0, 2)) {
            Engine engine = engines.get(number);
            engine.crash(engine.zone.equals(lossy) ? LOSS : 0, AGAIN_MS);
            ended.put(engine.id, true);
          }
          record.println("crash " + crash + ": engines " + order.subList(0, 2) + ", links of " + lossy + " lose packets");
        }
        Thread.sleep(AWAY_MS);
        if (trouble) {
          for (int number : order.subList(0, 2)) {
            platform.remove(engines.get(number).id);
            engines.set(number, engine(platform, number, life));
          }
        }
        Thread.sleep(300);
      }
      over = true;
      for (Thread client : clients) {
        client.join(7_000);
      }
      record.println(
          "whole answers " + whole + ", answers that broke off or failed " + seenBroken
              + ", answers that look complete and are not " + broken.size());
      if (!broken.isEmpty()) {
        return 1;
      }
      return whole.get() > 0 && (trouble || seenBroken.get() == 0) ? 0 : 2;
    }
  }
}
