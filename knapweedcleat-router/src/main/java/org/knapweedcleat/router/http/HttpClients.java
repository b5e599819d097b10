package org.knapweedcleat.router.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpResponse;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;

/**
 * Creates HTTP clients that read nothing left over from an earlier response as a part of the next.
 *
 * <p>A server may repeat an earlier response late, as a whole or in part. On a connection that is
 * used again, and where responses do not name their request, a part that ends within the body takes
 * in the beginning of the next response.
 */
public final class HttpClients {

  private HttpClients() {}

  /**
   * Creates a client that opens a connection for each request.
   *
   * @param vertx the Vert.x instance to run on
   * @param options the options; whether connections are kept is overridden
   * @param pool bounds the number of connections per server
   * @return the client
   */
  public static HttpClient createWithoutReuse(
      Vertx vertx, HttpClientOptions options, PoolOptions pool) {
    return vertx.createHttpClient(options.setKeepAlive(false).setPipelining(false), pool);
  }

  /**
   * Creates a web client that opens a connection for each request.
   *
   * @param vertx the Vert.x instance to run on
   * @param options the options; whether connections are kept is overridden
   * @return the client
   */
  public static WebClient createWebClientWithoutReuse(Vertx vertx, WebClientOptions options) {
    return WebClient.create(vertx, options.setKeepAlive(false).setPipelining(false));
  }

  /**
   * Creates a client that opens a connection for each request and reads responses by {@link
   * StrictHttpClientCodec}, since a server may break a response off and repeat it on the same
   * connection. Bodies have to be JSON, in which no line of HTTP can occur, and callers have to
   * reject bytes behind it.
   *
   * @param vertx the Vert.x instance to run on
   * @param options the options; whether connections are kept is overridden
   * @return the client
   */
  public static HttpClient createForJsonWithoutReuse(Vertx vertx, HttpClientOptions options) {
    int maxHeadBytes = options.getMaxHeaderSize();
    return vertx
        .httpClientBuilder()
        .with(options.setKeepAlive(false).setPipelining(false))
        .withConnectHandler(connection -> useStrictCodec(connection, maxHeadBytes))
        .build();
  }

  /** Replaces the codec of a new connection, on its event loop and before the first request. */
  private static void useStrictCodec(HttpConnection connection, int maxHeadBytes) {
    ChannelHandlerContext context = ((ConnectionBase) connection).channelHandlerContext();
    StrictHttpClientCodec codec =
        StrictHttpClientCodec.create(maxHeadBytes, new SingleUseConnection(context.channel()));
    context.pipeline().replace(HttpClientCodec.class, "codec", codec);
  }

  /** Takes each response that arrives while one is due. */
  private record SingleUseConnection(Channel channel) implements ResponseRecipient {
    @Override
    public boolean isAwaited(HttpResponse response) {
      return true;
    }

    /** A string of JSON ends with a quote, and before its line does. */
    @Override
    public boolean revealsResponse(String line) {
      return line.indexOf('"') < 0;
    }

    @Override
    public void onUnsolicitedBytes(int count) {
      channel.close();
    }
  }
}
