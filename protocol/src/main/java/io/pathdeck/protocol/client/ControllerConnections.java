package io.pathdeck.protocol.client;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportTls;
import java.util.ArrayList;
import java.util.List;

/** The connections of one process to all controllers, and the client that uses them. */
public final class ControllerConnections implements AutoCloseable {
  private static final int REQUEST_ID_SHIFT = 20;

  private final List<PeerClient> connections = new ArrayList<>();
  private final ControllerClient client;

  /** Prepares connections; {@code addresses} lists the controllers in the order of their ids. */
  public ControllerConnections(
      List<HostPort> addresses, EventLoopGroup eventLoops, TransportTls tls, String clientId) {
    addresses.forEach(address -> connections.add(new PeerClient(address, eventLoops, tls)));
    long firstRequestId = System.currentTimeMillis() << REQUEST_ID_SHIFT;
    this.client =
        new ControllerClient(connections, RetryTimer.on(eventLoops), clientId, firstRequestId);
  }

  /** The client on these connections. */
  public ControllerClient client() {
    return client;
  }

  @Override
  public void close() {
    connections.forEach(PeerClient::close);
  }
}
