package org.knapweedcleat.router.forward.node;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import java.util.function.Supplier;
import org.knapweedcleat.core.config.InetAddressPort;

/** Answers the GET requests of one path. */
final class SmallServer {

  private static final int NOT_FOUND = 404;

  private final HttpServer server;
  private final InetAddressPort address;

  /**
   * An answer.
   *
   * @param status its status
   * @param text its body
   */
  record Answer(int status, String text) {}

  private SmallServer(HttpServer server, InetAddressPort address) {
    this.server = server;
    this.address = address;
  }

  static SmallServer create(
      Vertx vertx, InetAddressPort address, String path, Supplier<Answer> answers) {
    HttpServer server =
        vertx
            .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
            .requestHandler(
                request -> {
                  boolean known = request.path().equals(path);
                  Answer answer = known ? answers.get() : new Answer(NOT_FOUND, "");
                  request.response().setStatusCode(answer.status()).end(answer.text());
                });
    return new SmallServer(server, address);
  }

  Future<Integer> listen() {
    return server.listen(address.port(), address.host()).map(HttpServer::actualPort);
  }

  Future<Void> close() {
    return server.close();
  }
}
