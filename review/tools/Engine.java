import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model engine as the users' pages describe it. */
final class Engine implements AutoCloseable {
  /** What an engine does with a request that it may run; writes the whole answer itself. */
  interface Work {
    void run(Engine engine, Http.Head head, InputStream in, Socket socket) throws Exception;
  }

  /** Small, as the windows of the links are. */
  private static final int RECEIVE_BUFFER = 16 * 1024;

  final String id;
  final String zone;
  final int slots;
  private final ServerSocket server;
  private final Work work;
  private final AtomicInteger running = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  Engine(String id, String zone, int slots, Work work) throws IOException {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.work = work;
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    Daemons.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Daemons.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        String path = head.line().split(" ")[1];
        String expected = head.headers().get("expect-instance");
        if (expected != null && !expected.equals(id)) {
          Http.readRequestBody(in, head);
          answer(socket, "421 Misdirected Request", head, "Not-Run: 1\r\n", "");
        } else if (path.equals("/-/report")) {
          int busy = running.get();
          String report =
              "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
                  + "\"waiting\":0,\"running\":" + busy + ",\"kv_used\":0,\"kv_total\":153000,\"handles\":0}";
          answer(socket, "200 OK", head, "Content-Type: application/json\r\n", report);
        } else if (path.equals("/health")) {
          answer(socket, "200 OK", head, "Instance-Id: " + id + "\r\n", "");
        } else {
          running.incrementAndGet();
          try {
            work.run(this, head, in, socket);
          } finally {
            running.decrementAndGet();
          }
          if (socket.isClosed() || socket.isOutputShutdown()) {
            return;
          }
        }
      }
    } catch (Exception e) {
      // The connection has ended.
    } finally {
      sockets.remove(socket);
    }
  }

  /** The headers that go with every answer to a request. */
  String stamps(Http.Head head) {
    String requestId = head.headers().get("request-id");
    return (requestId == null ? "" : "Request-Id: " + requestId + "\r\n")
        + "Server-Stamp: " + id + "." + requestId + "\r\n"
        + "Weight-Versions: 1\r\n"
        + "Server-Load: " + running.get() + ",0," + slots + "\r\n";
  }

  void answer(Socket socket, String status, Http.Head head, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    write(
        socket,
        "HTTP/1.1 " + status + "\r\n" + stamps(head) + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body);
  }

  static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  /** The text of an event. */
  static String data(String request, long number) {
    return "piece " + number + " of " + request;
  }

  static String event(String request, long number) {
    return "id: " + number + "\ndata: " + data(request, number) + "\n\n";
  }

  static void chunk(Socket socket, String text) throws IOException {
    write(socket, Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
  }

  static long lastEventId(Http.Head head) {
    return Long.parseLong(head.headers().getOrDefault("last-event-id", "0"));
  }

  /** Ends a connection with a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }

  /** Ends the engine: it listens no more, and its connections close. */
  void crash() {
    crash(0, 0);
  }

  /**
   * Ends the engine behind a link that loses packets: the end of a share of its connections is lost at first and
   * arrives later, when it is sent again.
   */
  void crash(double lost, long againMs) {
    close();
    java.util.Random random = new java.util.Random(System.nanoTime());
    // All connections end at one moment, as when a process is killed; a close waits for the thread that reads.
    Set<Socket> late = ConcurrentHashMap.newKeySet();
    for (Socket socket : sockets) {
      try {
        if (random.nextDouble() < lost) {
          late.add(socket);
        } else {
          socket.shutdownOutput();
        }
      } catch (IOException e) {
        // It has ended already.
      }
    }
    for (Socket socket : sockets) {
      Daemons.start(
          () -> {
            try {
              Thread.sleep(late.contains(socket) ? againMs : 0);
              socket.close();
            } catch (IOException | InterruptedException e) {
              // It has ended already.
            }
          });
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      server.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }

  /** What clients and operators of the small deployment send. */
  static final String HOST = "nony24.example";

  static String configuration(long version) {
    String stream =
        "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"stream\",\"timeout_ms\":%d,\"target_ms\":%d,"
            + "\"priority\":0,\"backend\":\"souq-lm\",\"max_attempts\":%d,\"sticky\":true,\"resumable\":%s,\"gap_target_ms\":250}";
    String ask = stream.formatted("stall-ask", HOST, "/ask/", 5000, 200, 2, true);
    String digest = stream.formatted("ledger-digest", HOST, "/digest/", 4000, 800, 1, false);
    String cards =
        "{\"name\":\"morning-cards\",\"host\":\"%s\",\"path_prefix\":\"/cards/\",\"kind\":\"batch\",\"timeout_ms\":30000,"
                .formatted(HOST)
            + "\"target_ms\":400,\"priority\":2,\"backend\":\"souq-lm\",\"max_attempts\":3,\"run_target_ms\":20000,"
            + "\"retain_s\":60,\"max_queued_tokens\":1600000}";
    return "{\"version\":" + version + ",\"routes\":[" + ask + "," + digest + "," + cards + "],\"services\":["
        + "{\"name\":\"souq-lm\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":17,\"kv_capacity\":153000,\"token_kv_bytes\":163840,\"link_mbps\":260000.0,"
        + "\"max_queued_tokens\":64,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Sends the first configuration until it is taken, and waits until all gateways are ready. */
  static boolean awaitServing(Fleet fleet, long patienceMs) throws InterruptedException {
    long end = System.currentTimeMillis() + patienceMs;
    boolean taken = false;
    while (System.currentTimeMillis() < end) {
      if (!taken) {
        taken =
            Http.call(
                        fleet.operators("core-0"),
                        "PUT",
                        "/-/config",
                        Map.of("Host", "control", "Content-Type", "application/json"),
                        configuration(7).getBytes(StandardCharsets.UTF_8),
                        3_000)
                    .status()
                == 200;
      }
      boolean ready = taken;
      for (Fleet.Machine gateway : fleet.ofRole("gateway")) {
        ready =
            ready
                && Http.call(
                            fleet.readiness(gateway.name),
                            "GET",
                            "/-/ready",
                            Map.of("Host", "ready"),
                            new byte[0],
                            1_000)
                        .status()
                    == 200;
      }
      if (ready) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }
}
