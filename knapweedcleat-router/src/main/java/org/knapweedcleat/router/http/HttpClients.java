package org.knapweedcleat.router.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
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
}
