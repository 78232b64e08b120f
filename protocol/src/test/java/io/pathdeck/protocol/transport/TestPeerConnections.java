package io.pathdeck.protocol.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventCounts;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.Unavailable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TestPeerConnections {
  private static final FrameCompression ON = new FrameCompression(64);
  private static final Message LONG = new Unavailable("again ".repeat(500), true);
  private static final int REPLY_TIMEOUT_MS = 5_000;
  private static final int COMPRESSED_REQUEST = 0x40 | Frame.Kind.REQUEST.ordinal();
  private static final int CLAIMED_LENGTH = 3_000;
  private static final byte[] NO_DEFLATED_BYTES = {-1, -1, -1, -1, -1, -1, -1, -1};
  private static final int CONTENT_LENGTH = 1 + 1 + Long.BYTES + Integer.BYTES;

  private final EventLoopGroup eventLoops = EventLoops.create(1);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static HostPort freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new HostPort("127.0.0.1", socket.getLocalPort());
    }
  }

  private PeerServer echo(HostPort address, FrameCompression compression) {
    return new PeerServer(
        address,
        eventLoops,
        TransportTls.NONE,
        compression,
        (message, reply) -> reply.reply(message));
  }

  @Test
  void onlyOneEndNeedsToCompress() throws Exception {
    assertEchoes(ON, FrameCompression.OFF);
    assertEchoes(FrameCompression.OFF, ON);
    assertEchoes(ON, ON);
  }

  private void assertEchoes(FrameCompression ofClient, FrameCompression ofServer) throws Exception {
    HostPort address = freeAddress();
    PeerServer server = echo(address, ofServer);
    try (PeerClient client = new PeerClient(address, eventLoops, TransportTls.NONE, ofClient)) {
      Result<Message, TransportError> reply =
          client.request(LONG, REPLY_TIMEOUT_MS).get(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertThat(reply.value()).isEqualTo(LONG);
    } finally {
      server.close();
    }
  }

  @Test
  void strangeBytesCloseTheConnectionAndAreCounted() throws Exception {
    long before = EventCounts.SHARED.happened(EventCode.FRAME_REJECTED);
    HostPort address = freeAddress();
    PeerServer server = echo(address, FrameCompression.OFF);
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(REPLY_TIMEOUT_MS);
      writeDamagedFrame(new DataOutputStream(socket.getOutputStream()));
      assertThat(socket.getInputStream().read()).isEqualTo(-1);
    } finally {
      server.close();
    }
    assertThat(EventCounts.SHARED.happened(EventCode.FRAME_REJECTED)).isGreaterThan(before);
  }

  @Test
  void aStrangeReplyEndsTheRequestAndIsCounted() throws Exception {
    long before = EventCounts.SHARED.happened(EventCode.FRAME_REJECTED);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PeerClient client =
            new PeerClient(
                new HostPort("127.0.0.1", server.getLocalPort()), eventLoops, TransportTls.NONE)) {
      var reply = client.request(LONG, REPLY_TIMEOUT_MS);
      try (Socket accepted = server.accept()) {
        writeDamagedFrame(new DataOutputStream(accepted.getOutputStream()));
        assertThat(reply.get(REPLY_TIMEOUT_MS, TimeUnit.MILLISECONDS).error())
            .isEqualTo(TransportError.CONNECTION_LOST);
      }
    }
    assertThat(EventCounts.SHARED.happened(EventCode.FRAME_REJECTED)).isGreaterThan(before);
  }

  private static void writeDamagedFrame(DataOutputStream out) throws IOException {
    out.writeInt(CONTENT_LENGTH + NO_DEFLATED_BYTES.length);
    out.writeByte(Frame.VERSION);
    out.writeByte(COMPRESSED_REQUEST);
    out.writeLong(1);
    out.writeInt(CLAIMED_LENGTH);
    out.write(NO_DEFLATED_BYTES);
    out.flush();
  }
}
