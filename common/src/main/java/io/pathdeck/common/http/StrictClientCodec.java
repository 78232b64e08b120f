package io.pathdeck.common.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * The codec of a client's connection whose responses are decoded strictly. It does not track
 * methods, so it does not support HEAD and CONNECT, whose responses have no body.
 */
public final class StrictClientCodec
    extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
  public StrictClientCodec() {
    super(new StrictResponseDecoder(), new HttpRequestEncoder());
  }
}
