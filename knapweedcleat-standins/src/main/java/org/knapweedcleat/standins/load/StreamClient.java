package org.knapweedcleat.standins.load;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.Json;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Sends requests to split services and reads the streamed answers. */
public final class StreamClient {

  private static final int OK_STATUS = 200;
  private static final int MAX_CONNECTIONS = 256;

  private final HttpClient client;

  private StreamClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Returns a client.
   *
   * @param vertx runs it
   * @return the client
   */
  public static StreamClient of(Vertx vertx) {
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
    return new StreamClient(vertx.createHttpClient(new HttpClientOptions(), pool));
  }

  /**
   * Sends a request and reads its answer to the end.
   *
   * @param target the callers' port of an instance
   * @param request the request
   * @param onToken told of the answer after each event
   * @return the answer, also when it broke; never fails
   */
  public Future<StreamedResponse> send(
      SocketAddress target, StreamRequest request, Consumer<StreamedResponse> onToken) {
    StreamedResponse answer = StreamedResponse.of(request);
    return client
        .request(HttpMethod.POST, target.port(), target.hostAddress(), request.path())
        .compose(call -> sendRequest(call, request))
        .compose(response -> readResponse(response, answer, onToken))
        .otherwise(answer);
  }

  private static Future<HttpClientResponse> sendRequest(HttpClientRequest call, StreamRequest request) {
    call.putHeader("Content-Type", "application/json");
    call.putHeader("Authorization", "Bearer " + request.key());
    request
        .continuation()
        .ifPresent(
            continuation -> {
              call.putHeader("X-Continuation", continuation);
              call.putHeader("X-Next-Position", Integer.toString(request.nextPosition()));
            });
    Body body = new Body(request.prompt(), request.maxTokens(), true);
    return call.send(Json.encodeToBuffer(body));
  }

  private static Future<StreamedResponse> readResponse(
      HttpClientResponse response, StreamedResponse answer, Consumer<StreamedResponse> onToken) {
    answer.setStatus(response.statusCode());
    if (response.statusCode() != OK_STATUS) {
      return response.body().onSuccess(answer::setErrorBody).map(answer);
    }
    Promise<StreamedResponse> done = Promise.promise();
    RecordParser parser = RecordParser.newDelimited("\n\n", response);
    parser.exceptionHandler(failure -> done.tryComplete(answer));
    parser.endHandler(end -> done.tryComplete(answer));
    parser.handler(
        event -> {
          answer.parseEvent(event.toString(), System.nanoTime());
          onToken.accept(answer);
        });
    return done.future();
  }

  private record Body(String prompt, int maxTokens, boolean stream) {}
}
