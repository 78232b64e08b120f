import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Answers without a length, begun before the long body was read, whose connections are reset.
 *
 * <p>Usage: ResetAnswers ROOT RECORD. Exits with 1 if a client took a reset answer for complete.
 */
public final class ResetAnswers {
  private static final int EVENTS = 9;
  private static final long PAUSE_MS = 150;
  private static final int BODY_BYTES = 4_000_000;
  private static final int REQUESTS = 8;
  private static final double RESET_SHARE = 0.55;

  private record Running(String request, Socket socket) {}

  private static final List<Running> running = new CopyOnWriteArrayList<>();
  private static final Map<String, Integer> sent = Collections.synchronizedMap(new HashMap<>());
  private static final Map<String, Integer> runs = Collections.synchronizedMap(new HashMap<>());
  private static final List<String> reset = new CopyOnWriteArrayList<>();

  /** Streams a whole answer that ends with its connection, and reads the body only then. */
  private static void answerFirst(Engine engine, Http.Head head, InputStream in, Socket socket)
      throws Exception {
    String request = head.headers().get("request-id");
    runs.merge(request, 1, Integer::sum);
    Engine.write(
        socket,
        "HTTP/1.1 200 OK\r\n" + engine.stamps(head) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    Running self = new Running(request, socket);
    running.add(self);
    try {
      for (int event = 1; event <= EVENTS; event++) {
        Thread.sleep(PAUSE_MS);
        Engine.write(socket, Engine.event(request, event));
        sent.put(request, event);
      }
    } finally {
      running.remove(self);
    }
    socket.shutdownOutput();
    Http.readRequestBody(in, head);
  }

  /** Resets a share of the connections that carry answers now. */
  private static void resetConnections(Random random) {
    for (Running each : running) {
      if (random.nextDouble() < RESET_SHARE) {
        reset.add(each.request());
        Engine.reset(each.socket());
      }
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

  private static int run(Path root, PrintWriter record, boolean trouble)
      throws IOException, InterruptedException {
    record.println("disruption: " + (trouble ? "connections are reset" : "none"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(root, platform.address(), 3, 3, 3)) {
      List<Engine> engines = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        Engine engine = new Engine("i-" + i, Fleet.ZONES[i % 3], 17, ResetAnswers::answerFirst);
        engines.add(engine);
        platform.list(engine.id, "souq-lm", engine.address(), engine.zone, engine.slots, "ready");
      }
      fleet.startAll();
      if (!Engine.awaitServing(fleet, 40_000)) {
        record.println("the fleet did not come up");
        return 2;
      }
      Thread.sleep(4_000);
      Map<String, Http.Answer> answers = Collections.synchronizedMap(new HashMap<>());
      List<Thread> clients = new ArrayList<>();
      byte[] body = new byte[BODY_BYTES];
      for (int i = 0; i < REQUESTS; i++) {
        String request = String.format("9c41d07be2a3%04x", i);
        Thread client =
            Daemons.thread(
                () ->
                    answers.put(
                        request,
                        Http.call(
                            fleet.callers("front-0"),
                            "POST",
                            "/digest/" + request,
                            Map.of(
                                "Host", Engine.HOST, "Request-Id", request, "Model", "m",
                                "Token-Count", "9190,80", "Prompt-Prefix", request + ":9190",
                                "Deadline-Ms", "4000"),
                            body,
                            6_000)));
        client.start();
        clients.add(client);
        Thread.sleep(40);
      }
      Thread.sleep(500);
      if (trouble) {
        resetConnections(new Random(57));
      }
      for (Thread client : clients) {
        client.join(8_000);
      }
      int broken = 0;
      int whole = 0;
      for (Map.Entry<String, Http.Answer> entry : new java.util.TreeMap<>(answers).entrySet()) {
        String request = entry.getKey();
        Http.Answer answer = entry.getValue();
        StringBuilder expected = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
          expected.append(Engine.event(request, event));
        }
        boolean isWhole = answer.body().contentEquals(expected);
        boolean looksComplete = answer.status() == 200 && answer.complete();
        boolean isBroken = looksComplete && !isWhole;
        broken += isBroken ? 1 : 0;
        whole += looksComplete && isWhole ? 1 : 0;
        record.println(
            "request " + request + ": runs " + runs.getOrDefault(request, 0)
                + ", events sent by the engine " + sent.getOrDefault(request, 0) + " of " + EVENTS
                + ", connection reset " + reset.contains(request)
                + "; client: status " + answer.status() + ", answer " + answer.end()
                + ", events received " + answer.body().split("id: ", -1).length + " - 1"
                + (isBroken ? "  <- looks complete, and is not: MIXED" : ""));
      }
      record.println("answers that look complete and are not: " + broken + "; whole answers: " + whole);
      if (broken > 0) {
        return 1;
      }
      boolean worked = whole > 0 && (trouble ? !reset.isEmpty() : whole == REQUESTS);
      return worked ? 0 : 2;
    }
  }
}
