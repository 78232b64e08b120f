package io.pathdeck.fleet.engine;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether an engine has ended or only a connection to it; confined to the event loop.
 *
 * <p>Resets, garbled answers and cuts of the network end connections of engines that live on. So a
 * lost connection alone proves nothing: the engine is asked for its load on another connection. It
 * has ended when nothing listens at its address and no other connection to it is open, when another
 * engine answers there, or when it tells that its life began at another time. An engine that is
 * silent is not known to have ended.
 */
public final class EngineLivenessProbe {
  /** What was found out. */
  public enum Verdict {
    ENDED,
    ALIVE,
    UNKNOWN
  }

  private static final int OK = 200;

  /** A few round trips; an engine that runs answers within some milliseconds. */
  private static final long TIMEOUT_MS = 500;

  /** A kept connection may end with its engine and be noticed only when it is used. */
  private static final int MAX_ATTEMPTS = 3;

  private final EventLoop eventLoop;
  private final NettyEngineTransport transport;
  private final EngineProtocol protocol;
  private final Map<String, List<Consumer<Verdict>>> pendingReceivers = new HashMap<>();

  /** Asks engines over {@code transport}. */
  public EngineLivenessProbe(
      EventLoop eventLoop, NettyEngineTransport transport, EngineProtocol protocol) {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.protocol = protocol;
  }

  /**
   * Tells {@code receiver} whether a life of an engine has ended; one question at a time a life.
   */
  public void check(EngineInstance engine, Consumer<Verdict> receiver) {
    List<Consumer<Verdict>> waiting = pendingReceivers.get(engine.lifeId());
    if (waiting != null) {
      waiting.add(receiver);
      return;
    }
    waiting = new ArrayList<>();
    waiting.add(receiver);
    pendingReceivers.put(engine.lifeId(), waiting);
    // Later, so that all connections that ended with the engine are known to have ended.
    eventLoop.execute(() -> new Probe(engine).ask());
  }

  /**
   * Whether an engine that has just refused a connection has ended. One that has too many
   * connections refuses more, too, but then some of them are open.
   */
  public boolean isDown(EngineInstance engine) {
    return transport.openConnections(engine) == 0;
  }

  private void notifyReceivers(EngineInstance engine, Verdict verdict) {
    List<Consumer<Verdict>> waiting = pendingReceivers.remove(engine.lifeId());
    if (waiting != null) {
      waiting.forEach(receiver -> receiver.accept(verdict));
    }
  }

  /** One question to one engine, asked again while connections end under it. */
  private final class Probe implements EngineListener {
    private final EngineInstance engine;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EngineResponse answer;
    private EngineTransport.Handle handle;
    private int attempts;
    private boolean decided;

    Probe(EngineInstance engine) {
      this.engine = engine;
    }

    void ask() {
      attempts++;
      body.reset();
      handle = transport.start(EngineLoadClient.reportCall(protocol, engine), this);
      if (attempts == 1) {
        eventLoop.schedule(this::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void onTimeout() {
      if (!decided) {
        handle.cancel();
        finish(Verdict.UNKNOWN);
      }
    }

    private void finish(Verdict verdict) {
      if (!decided) {
        decided = true;
        notifyReceivers(engine, verdict);
      }
    }

    @Override
    public void onHead(EngineResponse head) {
      answer = head;
    }

    @Override
    public void onBody(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      if (answer.wrongInstance()) {
        finish(Verdict.ENDED);
      } else if (answer.status() == OK) {
        Optional<EngineLoadReport> report = protocol.readReport(body.toByteArray());
        boolean otherLife = report.isPresent() && engine.isOtherLife(report.get().bornMs());
        finish(otherLife ? Verdict.ENDED : Verdict.ALIVE);
      } else {
        finish(Verdict.ALIVE);
      }
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure == EngineFailure.CONNECTION_REFUSED) {
        finish(isDown(engine) ? Verdict.ENDED : Verdict.ALIVE);
      } else if (failure.isLostConnection() && attempts < MAX_ATTEMPTS && !decided) {
        ask();
      } else {
        finish(Verdict.UNKNOWN);
      }
    }
  }
}
