package io.pathdeck.fleet.store;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.EngineInstance;

/** Creates the calls that run items on engines. */
final class ItemCalls {
  private ItemCalls() {}

  /** Returns the call that continues an item after its last event. */
  static EngineCall call(ItemRun run, EngineInstance engine, boolean requiresKeys) {
    HttpHeaders headers = new DefaultHttpHeaders();
    run.item.headers().forEach(headers::set);
    return new EngineCall(
        engine,
        HttpMethod.POST,
        run.item.path(),
        run.job.submission().host(),
        run.item.id(),
        EngineTenant.ofOwner(run.job.submission().tenant(), requiresKeys),
        headers,
        run.item.body(),
        0,
        run.lastEvent());
  }
}
