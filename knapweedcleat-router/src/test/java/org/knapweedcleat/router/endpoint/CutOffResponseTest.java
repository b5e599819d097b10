package org.knapweedcleat.router.endpoint;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedcleat.core.attempt.SentCallTracker;
import org.knapweedcleat.core.config.EndpointRole;
import org.knapweedcleat.core.config.EndpointSpec;
import org.knapweedcleat.core.config.EndpointState;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.PoolId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.id.TeamId;
import org.knapweedcleat.router.platform.PlatformClient;
import org.knapweedcleat.router.platform.PlatformException;

/**
 * Guards against joining two responses in the clients of the own interface: a server repeats a
 * response, breaks the copy off at any byte and answers the next request on the same connection.
 */
class CutOffResponseTest {

  private static final String HOST = "127.0.0.1";
  private static final int DELAY_MILLIS = 3;

  /** Long enough for the connection to return to its pool, and for the copy to arrive there. */
  private static final int IDLE_MILLIS = 30;

  private static final long TIMEOUT_MILLIS = 20_000;

  /** Ends the plays in which a request waits for a response that was lost. */
  private static final long SHORT_TIMEOUT_MILLIS = 500;

  /** Outcomes that say that no response could be read. */
  private static final Set<String> UNREAD = Set.of("UNKNOWN", "UNREACHABLE", "BAD_ANSWER");

  private static final Pattern PLAY = Pattern.compile("/v1/values/(first|next)\\?after=(\\d+)");

  /** The response that is repeated. */
  private enum Form {
    REVISION_FIRST(
        "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Type: text/plain\r\n"
            + "Content-Length: 9\r\n\r\nconfirmed"),
    DATE_FIRST(
        "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 09:24:43 GMT\r\nContent-Length: 9\r\n"
            + "X-Revision: 7\r\n\r\nconfirmed"),
    IN_CHUNKS(
        "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "9\r\nconfirmed\r\n0\r\n\r\n"),
    NOT_RUN("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n");

    private final String text;

    Form(String text) {
      this.text = text;
    }
  }

  /** The response to the next request, with a body that names it. */
  private enum Next {
    FAILED("500 Internal Server Error"),
    NOT_FOUND("404 Not Found"),
    BUSY("503 Busy"),
    OTHER("200 OK");

    private final String status;

    Next(String status) {
      this.status = status;
    }

    String text() {
      return "HTTP/1.1 "
          + status
          + "\r\nX-Revision: 9\r\nContent-Type: text/html\r\nContent-Length: "
          + name().length()
          + "\r\n\r\n"
          + name();
    }
  }

  /** When the copy arrives. */
  private enum Moment {
    IDLE,
    AFTER_REQUEST
  }

  /** A client with its outcome of a request, which carries the number of its play. */
  private enum Reader {
    ENDPOINT_CLIENT {
      @Override
      Requester create(Vertx vertx, int port) {
        EndpointClient client = EndpointClient.create(vertx);
        return (name, number, timeoutMillis) ->
            client
                .send(call(port, name, number, timeoutMillis), SentCallTracker.create())
                .map(
                    result ->
                        result.fold(
                            Enum::name,
                            response ->
                                response.status()
                                    + " "
                                    + response.contentType()
                                    + " "
                                    + response.body()));
      }

      @Override
      String outcome(Next next) {
        return next.status.substring(0, 3) + " text/html " + next;
      }
    },
    PLATFORM_CLIENT {
      @Override
      Requester create(Vertx vertx, int port) {
        PlatformClient client = PlatformClient.create(vertx, HOST, port, new MetricRegistry());
        return (name, number, timeoutMillis) ->
            client
                .readValue(name, Revision.of(number), 0)
                .map(found -> found.map(value -> value.revision() + " " + value.value()))
                .map(found -> found.orElse("none"))
                .otherwise(failure -> ((PlatformException) failure).fault().name());
      }

      @Override
      String outcome(Next next) {
        return switch (next) {
          case FAILED, BUSY -> "BAD_STATUS";
          case NOT_FOUND -> "NOT_PUBLISHED";
          case OTHER -> "9 OTHER";
        };
      }
    };

    abstract Requester create(Vertx vertx, int port);

    abstract String outcome(Next next);

    private static EndpointCall call(int port, String name, int number, long timeoutMillis) {
      EndpointSpec endpoint =
          new EndpointSpec(
              EndpointId.of("e-1"),
              PoolId.of("pool-1"),
              EndpointRole.PLAIN,
              FailureDomainId.of("d-1"),
              HOST,
              port,
              0,
              false,
              EndpointState.ACTIVE,
              TeamId.of("team-1"));
      return new EndpointCall(
          endpoint,
          HttpMethod.POST,
          "/v1/values/" + name + "?after=" + number,
          MultiMap.caseInsensitiveMultiMap(),
          Buffer.buffer("x"),
          timeoutMillis);
    }
  }

  private interface Requester {
    Future<String> send(String name, int number, long timeoutMillis);
  }

  /** One client's two requests. */
  private static final class Play {
    private final Form form;
    private final Next next;
    private final Moment moment;
    private final int cut;
    private final Promise<Void> copied = Promise.promise();
    private NetSocket connection;

    Play(Form form, Next next, Moment moment, int cut) {
      this.form = form;
      this.next = next;
      this.moment = moment;
      this.cut = cut;
    }

    /** Tells the plays that run at the same time apart. */
    int number() {
      return cut * Next.values().length + next.ordinal();
    }

    String copy() {
      return form.text.substring(0, cut);
    }
  }

  private final Vertx vertx = Vertx.vertx();
  private final Map<Integer, Play> plays = new ConcurrentHashMap<>();
  private final int port =
      await(vertx.createNetServer().connectHandler(this::accept).listen(0, HOST)).actualPort();

  @AfterEach
  void close() {
    await(vertx.close());
  }

  static Stream<Arguments> readersAndForms() {
    return Stream.of(Reader.values())
        .flatMap(
            reader -> EnumSet.allOf(Form.class).stream().map(form -> Arguments.of(reader, form)));
  }

  @ParameterizedTest
  @MethodSource("readersAndForms")
  void copyOnIdleConnectionYieldsNothingThatWasNotAnswered(Reader reader, Form form) {
    assertThat(falseOutcomes(reader, form, Moment.IDLE), is(empty()));
  }

  @ParameterizedTest
  @MethodSource("readersAndForms")
  void copyAfterRequestYieldsNothingThatWasNotAnswered(Reader reader, Form form) {
    assertThat(falseOutcomes(reader, form, Moment.AFTER_REQUEST), is(empty()));
  }

  /** The next request goes over another connection. */
  @ParameterizedTest
  @EnumSource(Reader.class)
  void copyOnIdleConnectionCostsNoRequest(Reader reader) {
    for (Form form : Form.values()) {
      List<Play> batch = batch(form, Moment.IDLE, Next.OTHER);
      List<Future<String>> outcomes =
          batch.stream().map(play -> play(reader, play, TIMEOUT_MILLIS)).toList();

      for (int index = 0; index < outcomes.size(); index++) {
        String cutOff = form + ", cut off after " + batch.get(index).cut;
        assertThat(cutOff, await(outcomes.get(index)), is(reader.outcome(Next.OTHER)));
      }
    }
  }

  /** Returns the outcomes that are neither the answer nor a failure to read one. */
  private List<String> falseOutcomes(Reader reader, Form form, Moment moment) {
    List<String> found = new ArrayList<>();
    List<Play> batch = batch(form, moment, Next.values());
    List<Future<String>> outcomes =
        batch.stream().map(play -> play(reader, play, SHORT_TIMEOUT_MILLIS)).toList();
    for (int index = 0; index < outcomes.size(); index++) {
      Play play = batch.get(index);
      String outcome = await(outcomes.get(index));
      if (!UNREAD.contains(outcome) && !outcome.equals(reader.outcome(play.next))) {
        found.add(play.next + " after " + play.cut + " bytes: " + outcome);
      }
    }
    return found;
  }

  private List<Play> batch(Form form, Moment moment, Next... answers) {
    List<Play> batch =
        IntStream.range(1, form.text.length())
            .boxed()
            .flatMap(cut -> Stream.of(answers).map(next -> new Play(form, next, moment, cut)))
            .toList();
    batch.forEach(play -> plays.put(play.number(), play));
    return batch;
  }

  /** Plays two requests of a client of its own; returns the outcome of the second one. */
  private Future<String> play(Reader reader, Play play, long timeoutMillis) {
    Requester client = reader.create(vertx, port);
    return client
        .send("first", play.number(), TIMEOUT_MILLIS)
        .compose(
            outcome ->
                play.moment == Moment.IDLE ? play.copied.future() : Future.<Void>succeededFuture())
        .compose(ignored -> vertx.timer(IDLE_MILLIS))
        .compose(ignored -> client.send("next", play.number(), timeoutMillis));
  }

  private void accept(NetSocket socket) {
    socket.handler(
        bytes -> {
          Matcher request = PLAY.matcher(bytes.toString());
          if (!request.find()) {
            return;
          }
          Play play = plays.get(Integer.parseInt(request.group(2)));
          if ("first".equals(request.group(1))) {
            answerFirst(play, socket);
          } else {
            answerNext(play, socket);
          }
        });
  }

  private void answerFirst(Play play, NetSocket socket) {
    play.connection = socket;
    socket.write(play.form.text);
    if (play.moment == Moment.IDLE) {
      vertx.setTimer(
          DELAY_MILLIS,
          timer -> socket.write(play.copy()).onComplete(done -> play.copied.tryComplete()));
    }
  }

  private void answerNext(Play play, NetSocket socket) {
    if (socket != play.connection || play.moment == Moment.IDLE) {
      socket.write(play.next.text());
    } else if (play.cut % 2 == 0) {
      socket.write(play.copy() + play.next.text());
    } else {
      socket.write(play.copy());
      vertx.setTimer(DELAY_MILLIS, timer -> socket.write(play.next.text()));
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
