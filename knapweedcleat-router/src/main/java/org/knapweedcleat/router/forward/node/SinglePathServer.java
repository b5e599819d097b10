package org.knapweedcleat.router.forward.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Supplier;
import org.knapweedcleat.core.config.InetAddressPort;
import org.knapweedcleat.router.listener.ListenerGuard;

/** HTTP server for a single path; responds with 404 to all others. */
final class SinglePathServer {

  private static final int NOT_FOUND = 404;
  private static final long MAX_DISCARD_BYTES = 65_536;

  private final HttpServer server;
  private final InetAddressPort address;

  /**
   * A response.
   *
   * @param status the HTTP status
   * @param body the body
   */
  record Response(int status, String body) {}

  private SinglePathServer(HttpServer server, InetAddressPort address) {
    this.server = server;
    this.address = address;
  }

  static SinglePathServer create(
      Vertx vertx,
      InetAddressPort address,
      String path,
      ListenerGuard guard,
      Supplier<Response> responses) {
    HttpServer server =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
            .requestHandler(
                request -> {
                  boolean found = request.path().equals(path);
                  Response response = found ? responses.get() : new Response(NOT_FOUND, "");
                  request.response().setStatusCode(response.status()).end(response.body());
                });
    guard.protect(server, MAX_DISCARD_BYTES);
    return new SinglePathServer(server, address);
  }

  Future<Integer> listen() {
    return server.listen(address.port(), address.host()).map(HttpServer::actualPort);
  }

  Future<Void> close() {
    return server.close();
  }
}
