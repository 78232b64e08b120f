package io.pathdeck.serving.engine;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpClientCodec;
import io.pathdeck.common.http.StrictClientCodec;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.netty.channel.ChannelManager;

/** The settings that all HTTP clients of engines have in common. */
public final class EngineClientSettings {
  private EngineClientSettings() {}

  /** Returns settings for a client on {@code eventLoops} that decodes responses strictly. */
  public static DefaultAsyncHttpClientConfig.Builder on(EventLoopGroup eventLoops) {
    return Dsl.config()
        .setEventLoopGroup(eventLoops)
        .setUseNativeTransport(false)
        // Only the routing core decides about retries.
        .setMaxRequestRetry(0)
        .setHttpAdditionalChannelInitializer(EngineClientSettings::decodeStrictly);
  }

  private static void decodeStrictly(Channel channel) {
    channel
        .pipeline()
        .replace(HttpClientCodec.class, ChannelManager.HTTP_CLIENT_CODEC, new StrictClientCodec());
  }
}
