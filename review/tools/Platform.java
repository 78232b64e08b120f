import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** The platform's list of engines. */
final class Platform implements AutoCloseable {
  private final HttpServer server;
  private final Map<String, String> entries = new ConcurrentHashMap<>();

  Platform() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    server.setExecutor(Executors.newCachedThreadPool(Daemons::thread));
    server.createContext(
        "/instances",
        exchange -> {
          byte[] body =
              ("{\"instances\":[" + String.join(",", new ArrayList<>(entries.values())) + "],\"next_token\":null}")
                  .getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().set("Content-Type", "application/json");
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void list(String id, String service, String address, String zone, int slots, String state) {
    entries.put(
        id,
        ("{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                + "\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"id\":\"%s\"}")
            .formatted(service, address, zone, slots, state, id));
  }

  void remove(String id) {
    entries.remove(id);
  }

  List<String> ids() {
    return List.copyOf(entries.keySet());
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
