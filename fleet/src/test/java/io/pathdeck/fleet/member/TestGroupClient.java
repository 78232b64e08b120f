package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.FrameCompression;
import io.pathdeck.protocol.transport.FrameMeter;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against refusals of commands that an earlier attempt may still bring into effect. */
class TestGroupClient {
  private static final Message COMMAND = new Unavailable("stands for any command", false);
  private static final ProposeReply REFUSAL = new ProposeReply(new QuotaExceeded(2, 1));
  private static final long TIMEOUT_MS = 5_000;
  private static final long ATTEMPT_TIMEOUT_MS = 300;

  private final EventLoopGroup eventLoops = EventLoops.create(1);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Calls a leader that refuses after some attempts that it leaves without an answer. */
  private Result<Message, GroupCallError> callRefusedAfter(int unanswered) throws Exception {
    HostPort address;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new HostPort("127.0.0.1", free.getLocalPort());
    }
    AtomicInteger attempts = new AtomicInteger();
    PeerServer leader =
        new PeerServer(
            address,
            eventLoops,
            TransportTls.NONE,
            (message, reply) -> {
              if (attempts.incrementAndGet() > unanswered) {
                reply.reply(REFUSAL);
              }
            });
    try (PeerPool pool =
        new PeerPool(
            eventLoops, TransportTls.NONE, FrameCompression.OFF, peer -> FrameMeter.NONE)) {
      GroupClient client =
          new GroupClient(pool, RetryTimer.on(eventLoops), () -> List.of(address.toString()));
      return client
          .call(COMMAND, TIMEOUT_MS, ATTEMPT_TIMEOUT_MS, ProposeReply.class::isInstance)
          .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } finally {
      leader.close();
    }
  }

  @Test
  void refusalOfTheOnlyAttemptIsPassedOn() throws Exception {
    assertThat(callRefusedAfter(0).value()).isEqualTo(REFUSAL);
  }

  @Test
  void refusalAfterAnUnansweredAttemptIsNoPromise() throws Exception {
    assertThat(callRefusedAfter(1).error().mayHaveRun()).isTrue();
  }
}
