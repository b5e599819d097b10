package org.knapweedcleat.router.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second request on a connection of a client that should keep none, and against
 * responses that the client for JSON cannot read.
 */
class HttpClientsTest {

  private static final String HOST = "127.0.0.1";
  private static final int REQUESTS = 50;
  private static final int IDLE_MILLIS = 30;

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

  @Test
  void clientForJsonReadsAllFormsOfResponsesOnConnectionsOfTheirOwn() {
    int port = startServerOfAllForms();
    HttpClient client = HttpClients.createForJsonWithoutReuse(vertx, new HttpClientOptions());
    List<String> received = new ArrayList<>();
    for (String request : List.of("GET /", "HEAD /", "GET /chunks", "GET /none", "POST /")) {
      String[] methodAndPath = request.split(" ");
      HttpMethod method = HttpMethod.valueOf(methodAndPath[0]);
      received.add(
          await(
              client
                  .request(method, port, HOST, methodAndPath[1])
                  .compose(
                      sent ->
                          method == HttpMethod.POST
                              ? read(sent.send("sent"))
                              : read(sent.send()))));
      pause();
    }

    assertThat(received, is(List.of("200 got ", "200 ", "200 onetwo", "204 ", "200 got sent")));
    assertThat(connections.get(), is(received.size()));
  }

  /**
   * Reads a response; called on the event loop, before the response arrives. Vert.x keeps no part
   * of it for a handler that is added later, and the future of its body then never completes.
   */
  private static Future<String> read(Future<HttpClientResponse> arriving) {
    return arriving.compose(
        response -> response.body().map(body -> response.statusCode() + " " + body));
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

  private int startServerOfAllForms() {
    return await(
            vertx
                .createHttpServer()
                .connectionHandler(connection -> connections.incrementAndGet())
                .requestHandler(HttpClientsTest::answer)
                .listen(0, HOST))
        .actualPort();
  }

  private static void answer(HttpServerRequest request) {
    switch (request.path()) {
      case "/chunks" -> {
        request.response().setChunked(true).write("one");
        request.response().end("two");
      }
      case "/none" -> request.response().setStatusCode(204).end();
      default -> request.body().onSuccess(body -> request.response().end("got " + body));
    }
  }

  private static void pause() {
    try {
      Thread.sleep(IDLE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private static <T> T await(Future<T> future) {
    try {
      return future.toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
