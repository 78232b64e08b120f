package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.Duty;
import io.pathdeck.common.duty.DutyThread;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.serving.api.GenerationRequest;
import io.pathdeck.serving.engine.EngineHeaders;
import io.pathdeck.serving.engine.EngineLoad;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.HttpLimits;
import io.pathdeck.serving.http.HttpServer;
import io.pathdeck.serving.http.Json;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** An emulated model engine behind HTTP. docs/TESTKIT.md describes its routes. */
public final class EmulatedEngine implements Duty, AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(EmulatedEngine.class);
  private static final int OK = 200;
  private static final int CRASH_EXIT_CODE = 137;
  private static final int SLOW_FACTOR = 10;
  private static final long LATE_MS = 2_000;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long IDLE_NS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final HttpLimits LIMITS =
      new HttpLimits(16_384, 16 << 20, 16 << 20, 100_000, 600_000);

  private final String name;
  private final EngineModel model;
  private final PrefixCache cache;
  private final CacheEvents cacheEvents;
  private final LoadHistory loads;
  private final EngineFaults faults = new EngineFaults();
  private final EngineOrders orders = new EngineOrders();
  private final RunRecorder recorder;
  private final BoundedRing<Runnable> commands = new BoundedRing<>(65_536);
  private final HttpServer server;
  private final DutyThread thread;
  private long stepEndsNs;
  private boolean inStep;

  /** Starts an engine. */
  public EmulatedEngine(
      String name,
      HostPort address,
      EngineProfile profile,
      boolean honourPriority,
      Path runsFile,
      EventLoopGroup eventLoops) {
    this.name = name;
    this.cacheEvents = new CacheEvents(profile.cacheEventLagMs(), profile.cacheEventGapPercent());
    this.cache =
        new PrefixCache(
            profile.cacheBlocks(), (kind, block) -> cacheEvents.add(kind, block, nowMs()));
    this.model = new EngineModel(profile, cache, honourPriority);
    this.loads = new LoadHistory(profile.loadLagMs());
    this.recorder = new RunRecorder(runsFile);
    this.thread = new DutyThread(this, commands).start();
    this.server = new HttpServer(address, eventLoops, LIMITS, Optional.empty(), this::handle);
    EVENTS.log(EventCode.PROCESS_STARTED, "role", "engine", "name", name, "listen", address);
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  EngineFaults faults() {
    return faults;
  }

  EngineLoad reportedLoad() {
    return loads.reported(nowMs());
  }

  // ---- the engine's thread

  @Override
  public String name() {
    return "engine-" + name;
  }

  @Override
  public int doWork(long nowNs) {
    int work = commands.drain(Runnable::run, 4_096);
    if (faults.kind() == EngineFaults.Kind.HANG) {
      return 0;
    }
    if (inStep && System.nanoTime() >= stepEndsNs) {
      inStep = false;
      model.endStep();
      loads.add(model.load(), nowMs());
      work++;
    }
    if (!inStep && !model.isIdle()) {
      long micros = model.beginStep();
      int factor = faults.kind() == EngineFaults.Kind.SLOW ? SLOW_FACTOR : 1;
      // Steps follow each other without drift while the engine is busy.
      long start = Math.max(stepEndsNs, System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(2));
      stepEndsNs = start + TimeUnit.MICROSECONDS.toNanos(micros * factor);
      inStep = true;
      loads.add(model.load(), nowMs());
      work++;
    }
    return work;
  }

  @Override
  public long maxIdleNs() {
    return inStep ? Math.max(1_000, stepEndsNs - System.nanoTime()) : IDLE_NS;
  }

  private void command(Runnable action) {
    while (!commands.offer(action)) {
      Thread.onSpinWait();
    }
  }

  /** Stops a sequence; called on the engine's thread. */
  void cancel(Sequence sequence) {
    model.cancel(sequence);
  }

  void onFinished(Sequence sequence, boolean early) {
    if (early) {
      model.cancel(sequence);
    }
    recorder.record(early ? "cut" : "completed", sequence, sequence.requestId);
  }

  // ---- HTTP

  private void handle(HttpExchange exchange) {
    String path = exchange.path();
    boolean post = exchange.method().equals(HttpMethod.POST);
    if (post && GenerationRequest.isGenerationPath(path)) {
      generate(exchange);
      return;
    }
    switch (path) {
      case "/load" -> sendLoad(exchange);
      case "/cache/events" -> sendCacheEvents(exchange);
      case "/kv/export" -> command(() -> exportCache(exchange));
      case "/kv/import" -> command(() -> importCache(exchange));
      case "/orders" -> takeOrder(exchange, post);
      case "/admin/fault" -> setFault(exchange);
      case "/admin/leave" -> setLeaving(exchange);
      case "/admin/runs" -> exchange.send(OK, "application/jsonl", recorder.toBytes());
      default -> exchange.sendError(ApiError.notFound("not_found", "no such path"));
    }
  }

  private void generate(HttpExchange exchange) {
    Optional<ObjectNode> body = Json.parseObject(exchange.body());
    if (body.isEmpty() || !body.get().path("stream").asBoolean()) {
      ApiError error = ApiError.invalid("invalid", "expected a JSON object with stream: true");
      exchange.sendError(error, namingRequest(exchange));
      return;
    }
    if (faults.isLeaving() || faults.kind() == EngineFaults.Kind.REFUSE) {
      refuse(exchange);
      return;
    }
    EngineCall call = EngineCall.of(exchange, body.get());
    EngineStream stream =
        new EngineStream(exchange, this, call, System.currentTimeMillis() / 1_000);
    Sequence sequence =
        new Sequence(
            call.requestId(),
            call.priority(),
            PrefixCache.blocksOf(call.prompt()),
            call.promptTokens(),
            call.answerTokens(),
            call.resumeAfter(),
            stream);
    exchange.setDisconnectListener(
        () ->
            command(
                () -> {
                  recorder.record("cancelled", sequence, call.prompt());
                  model.cancel(sequence);
                }));
    command(() -> start(exchange, call, sequence));
  }

  private void start(HttpExchange exchange, EngineCall call, Sequence sequence) {
    boolean nothingLeft = call.resumeAfter() >= call.answerTokens();
    if (!nothingLeft && !model.submit(sequence)) {
      refuse(exchange);
      return;
    }
    recorder.record("started", sequence, call.prompt());
    boolean mismatch = faults.kind() == EngineFaults.Kind.MISMATCH;
    String echoed = mismatch ? "another-request" : call.requestId();
    Map<String, String> headers =
        Map.of(EngineHeaders.REQUEST_ID, echoed, EngineHeaders.LOAD, reportedLoad().format());
    exchange.startStream("text/event-stream", headers);
    exchange.write(": accepted\n\n".getBytes(StandardCharsets.UTF_8));
    if (nothingLeft) {
      // The caller held every token, but had not seen the end of the stream.
      sequence.output.onNothingLeft(sequence);
      return;
    }
    if (faults.kind() == EngineFaults.Kind.LATE) {
      model.cancel(sequence);
      sequence.cancelled = false;
      Thread delay = new Thread(() -> submitLate(sequence), "late");
      delay.setDaemon(true);
      delay.start();
    }
  }

  private void submitLate(Sequence sequence) {
    try {
      Thread.sleep(LATE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    command(() -> model.submit(sequence));
  }

  private void refuse(HttpExchange exchange) {
    ApiError error = ApiError.unavailable("engine_full", "the request was not run", RETRY_AFTER_MS);
    Map<String, String> headers = new HashMap<>(namingRequest(exchange));
    headers.put(EngineHeaders.LOAD, reportedLoad().format());
    headers.put(EngineHeaders.LEAVING, Boolean.toString(faults.isLeaving()));
    exchange.sendError(error, headers);
  }

  private static Map<String, String> namingRequest(HttpExchange exchange) {
    String requestId = exchange.headers().get(EngineHeaders.REQUEST_ID);
    return requestId == null ? Map.of() : Map.of(EngineHeaders.REQUEST_ID, requestId);
  }

  private void sendLoad(HttpExchange exchange) {
    loads.add(model.load(), nowMs());
    exchange.send(
        OK, "text/plain", new byte[0], Map.of(EngineHeaders.LOAD, reportedLoad().format()));
  }

  private void sendCacheEvents(HttpExchange exchange) {
    String after = exchange.queryParameter("after");
    long sequence = after == null ? 0 : Long.parseLong(after);
    exchange.sendJson(OK, cacheEvents.after(sequence, nowMs()));
  }

  private void exportCache(HttpExchange exchange) {
    ObjectNode json = Json.object();
    ArrayNode blocks = json.putArray("blocks");
    cache.blocks().forEach(block -> blocks.add(Long.toHexString(block)));
    exchange.sendJson(OK, Json.encode(json));
  }

  private void importCache(HttpExchange exchange) {
    List<Long> blocks = new ArrayList<>();
    Json.parseObject(exchange.body())
        .orElse(Json.object())
        .path("blocks")
        .forEach(block -> blocks.add(Long.parseUnsignedLong(block.asText(), 16)));
    cache.store(blocks);
    exchange.sendJson(OK, Json.encode(Json.object().put("imported", blocks.size())));
  }

  private void takeOrder(HttpExchange exchange, boolean post) {
    if (post) {
      ObjectNode order = Json.parseObject(exchange.body()).orElse(Json.object());
      String refusal = orders.accept(order);
      if (refusal != null) {
        exchange.sendError(ApiError.conflict("stale_order", refusal, true));
        return;
      }
    }
    exchange.sendJson(OK, Json.encode(orders.toJson()));
  }

  private void setFault(HttpExchange exchange) {
    String kind = Json.parseObject(exchange.body()).orElse(Json.object()).path("kind").asText();
    Optional<EngineFaults.Kind> parsed = EngineFaults.Kind.parse(kind);
    if (parsed.isEmpty()) {
      exchange.sendError(ApiError.invalid("invalid", "unknown fault " + kind));
      return;
    }
    EVENTS.log(EventCode.STAND_IN_FAULT, "engine", name, "fault", kind);
    if (parsed.get() == EngineFaults.Kind.CRASH) {
      Runtime.getRuntime().halt(CRASH_EXIT_CODE);
    }
    faults.set(parsed.get());
    exchange.sendJson(OK, Json.encode(Json.object().put("fault", kind)));
  }

  private void setLeaving(HttpExchange exchange) {
    boolean leaving = !"false".equals(exchange.queryParameter("leaving"));
    faults.setLeaving(leaving);
    EVENTS.log(EventCode.STAND_IN_FAULT, "engine", name, "fault", "leaving " + leaving);
    exchange.sendJson(OK, Json.encode(Json.object().put("leaving", leaving)));
  }

  @Override
  public void close() {
    server.close();
    thread.close();
  }
}
