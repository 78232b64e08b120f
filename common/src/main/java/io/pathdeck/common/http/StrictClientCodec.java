package io.pathdeck.common.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes a client's requests and decodes their responses strictly. It does not track the methods
 * of requests, so HEAD and CONNECT, whose responses have no body, are not supported.
 */
public final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
  public StrictClientCodec() {
    super(new StrictResponseDecoder(), new HttpRequestEncoder());
  }
}
