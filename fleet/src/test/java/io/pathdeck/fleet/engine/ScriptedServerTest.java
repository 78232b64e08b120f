package io.pathdeck.fleet.engine;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineTenant;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Gives each test of a subclass a transport and an engine that sends given bytes. */
abstract class ScriptedServerTest {
  static final long BOUND_MS = 5_000;
  static final long POLL_MS = 5;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  final EventLoop eventLoop = eventLoops.next();
  final NettyEngineTransport transport =
      new NettyEngineTransport(eventLoop, new PlainEngineProtocol(""));
  ScriptedServer server;

  @BeforeEach
  void start() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Makes a call and returns it once it has ended. */
  CallOutcome call(String requestId) throws Exception {
    return call(HttpMethod.POST, requestId);
  }

  /** Makes a call with this method. */
  CallOutcome call(HttpMethod method, String requestId) throws Exception {
    EngineCall call =
        new EngineCall(
            server.engine("e"),
            method,
            "/",
            "h",
            requestId,
            new EngineTenant.PassThrough(),
            new DefaultHttpHeaders(),
            new byte[0],
            0,
            -1);
    CallOutcome outcome = new CallOutcome();
    eventLoop.execute(() -> transport.start(call, outcome));
    outcome.failureWithin(BOUND_MS);
    return outcome;
  }

  /** Waits until no connection to the engine is open. */
  void awaitClose() throws Exception {
    while (eventLoop.submit(() -> transport.openConnections(server.engine("e"))).get() > 0) {
      Thread.sleep(POLL_MS);
    }
  }

  /** Makes a call and returns why it failed, or nothing if it did not. */
  Optional<EngineFailure> failureOf(String requestId) throws Exception {
    return call(requestId).failureWithin(BOUND_MS);
  }
}
