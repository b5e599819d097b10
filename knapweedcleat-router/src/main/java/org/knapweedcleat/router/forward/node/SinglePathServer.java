package org.knapweedcleat.router.forward.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Supplier;
import org.knapweedcleat.core.config.InetAddressPort;

/** Answers the GET requests of one path. */
final class SinglePathServer {

  private static final int NOT_FOUND = 404;

  private final HttpServer server;
  private final InetAddressPort address;

  /**
   * An answer.
   *
   * @param status its status
   * @param body its body
   */
  record Response(int status, String body) {}

  private SinglePathServer(HttpServer server, InetAddressPort address) {
    this.server = server;
    this.address = address;
  }

  static SinglePathServer create(
      Vertx vertx, InetAddressPort address, String path, Supplier<Response> answers) {
    HttpServer server =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
            .requestHandler(
                request -> {
                  boolean known = request.path().equals(path);
                  Response answer = known ? answers.get() : new Response(NOT_FOUND, "");
                  request.response().setStatusCode(answer.status()).end(answer.body());
                });
    return new SinglePathServer(server, address);
  }

  Future<Integer> listen() {
    return server.listen(address.port(), address.host()).map(HttpServer::actualPort);
  }

  Future<Void> close() {
    return server.close();
  }
}
