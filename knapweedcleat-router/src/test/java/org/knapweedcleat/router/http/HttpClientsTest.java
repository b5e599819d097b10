package org.knapweedcleat.router.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.Collections;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a second request on a connection of a client that should keep none. */
class HttpClientsTest {

  private static final String HOST = "127.0.0.1";
  private static final int REQUESTS = 50;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger connections = new AtomicInteger();

  @AfterEach
  void close() {
    await(vertx.close());
  }

  @Test
  void clientWithoutReuseOpensConnectionForEachRequest() {
    int port = startServerThatKeepsConnections();
    HttpClient client =
        HttpClients.createWithoutReuse(
            vertx, new HttpClientOptions().setKeepAlive(true), new PoolOptions());

    sendAll(() -> client.request(HttpMethod.GET, port, HOST, "/").compose(r -> r.send()));

    assertThat(connections.get(), is(2 * REQUESTS));
  }

  @Test
  void webClientWithoutReuseOpensConnectionForEachRequest() {
    int port = startServerThatKeepsConnections();
    WebClient client = HttpClients.createWebClientWithoutReuse(vertx, new WebClientOptions());

    sendAll(() -> client.get(port, HOST, "/").send());

    assertThat(connections.get(), is(2 * REQUESTS));
  }

  /** Sends requests one after another, and then as many at a time. */
  private static <T> void sendAll(Supplier<Future<T>> request) {
    for (int sent = 0; sent < REQUESTS; sent++) {
      await(request.get());
    }
    await(Future.all(Collections.nCopies(REQUESTS, request).stream().map(Supplier::get).toList()));
  }

  private int startServerThatKeepsConnections() {
    return await(vertx.createNetServer().connectHandler(this::answerAll).listen(0, HOST))
        .actualPort();
  }

  private void answerAll(NetSocket socket) {
    connections.incrementAndGet();
    socket.handler(bytes -> socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
  }

  private static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
