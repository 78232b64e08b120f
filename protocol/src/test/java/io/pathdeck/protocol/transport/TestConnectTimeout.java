package io.pathdeck.protocol.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.message.Ping;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A process that starts before its peers must not wait for a second before it asks another one, or
 * the same again: after a power failure all requests are refused until then.
 */
class TestConnectTimeout {
  private static final long LIMIT_MS = 800;
  private static final long RECONNECT_DELAY_MS = 250;

  @Test
  void silentAddressFailsSoon() throws IOException, InterruptedException {
    EventLoopGroup eventLoops = EventLoops.create(1);
    List<Socket> queued = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      fillAcceptQueue(server, queued);
      HostPort address = HostPort.parse("127.0.0.1:" + server.getLocalPort()).orElseThrow();
      try (PeerClient client = new PeerClient(address, eventLoops, TransportTls.NONE)) {
        assertFails(client);
        Thread.sleep(RECONNECT_DELAY_MS);
        long startNs = System.nanoTime();
        assertFails(client);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)).isLessThan(LIMIT_MS);
      }
    } finally {
      for (Socket socket : queued) {
        socket.close();
      }
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  private static void assertFails(PeerClient client) {
    assertThat(client.request(new Ping(), 5_000).join().error())
        .isEqualTo(TransportError.NOT_CONNECTED);
  }

  /** The kernel ignores connection requests while the queue is full, like a machine that is off. */
  private static void fillAcceptQueue(ServerSocket server, List<Socket> queued) throws IOException {
    boolean full = false;
    while (!full) {
      Socket socket = new Socket();
      queued.add(socket);
      try {
        socket.connect(server.getLocalSocketAddress(), 100);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
  }
}
