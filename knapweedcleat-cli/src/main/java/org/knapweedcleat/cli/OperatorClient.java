package org.knapweedcleat.cli;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.net.ConnectException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * HTTP client for the operator port of instances. Each request has its own connection, since
 * responses do not name their request.
 */
final class OperatorClient implements AutoCloseable {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int ACCEPTED = 202;
  private static final int OK = 200;

  private final Vertx vertx = Vertx.vertx();
  private final WebClient client =
      WebClient.create(
          vertx, new WebClientOptions().setConnectTimeout(TIMEOUT_MILLIS).setKeepAlive(false));

  private OperatorClient() {}

  static OperatorClient create() {
    return new OperatorClient();
  }

  JsonObject status(OperatorAddress address) throws CliException {
    return request(HttpMethod.GET, address, "/status", OK);
  }

  JsonObject audit(OperatorAddress address, long after) throws CliException {
    return request(HttpMethod.GET, address, "/audit?after=" + after, OK);
  }

  void drain(OperatorAddress address) throws CliException {
    request(HttpMethod.POST, address, "/drain", ACCEPTED);
  }

  @Override
  public void close() {
    vertx.close().await();
  }

  private JsonObject request(HttpMethod method, OperatorAddress address, String path, int expected)
      throws CliException {
    HttpResponse<Buffer> response = send(method, address, path);
    if (response.statusCode() != expected) {
      throw CliException.of(
          CliFault.BAD_ANSWER, address + " (status " + response.statusCode() + ")");
    }
    try {
      return response.bodyAsJsonObject();
    } catch (DecodeException | ClassCastException e) {
      throw CliException.of(CliFault.BAD_ANSWER, address.toString(), e);
    }
  }

  private static CliFault faultOf(Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return refused ? CliFault.NOT_LISTENING : CliFault.NO_ANSWER;
  }

  private HttpResponse<Buffer> send(HttpMethod method, OperatorAddress address, String path)
      throws CliException {
    try {
      return client
          .request(method, address.port(), address.host(), path)
          .timeout(TIMEOUT_MILLIS)
          .send()
          .toCompletionStage()
          .toCompletableFuture()
          .get(2L * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw CliException.of(faultOf(e.getCause()), address.toString(), e);
    } catch (TimeoutException e) {
      throw CliException.of(CliFault.NO_ANSWER, address.toString(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw CliException.of(CliFault.NO_ANSWER, address.toString(), e);
    }
  }
}
