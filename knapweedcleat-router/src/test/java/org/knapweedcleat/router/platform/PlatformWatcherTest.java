package org.knapweedcleat.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.not;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.id.Revision;

class PlatformWatcherTest {

  private static final PlatformWatcher.WatchTimings TIMINGS =
      new PlatformWatcher.WatchTimings(50, 50);

  private final Vertx vertx = Vertx.vertx();
  private final Deque<Future<Optional<PublishedValue<String>>>> responses = new ArrayDeque<>();
  private final List<String> accepted = new ArrayList<>();
  private final List<Revision> requestedAfter = new ArrayList<>();
  private final Promise<Void> done = Promise.promise();

  @AfterEach
  void closeAll() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
  }

  @Test
  void acceptsOnlyNewerValuesAndSurvivesOutage() throws Exception {
    responses.add(published(5, "five"));
    responses.add(Future.failedFuture(PlatformException.of(PlatformFault.UNREACHABLE)));
    responses.add(published(4, "four, from a stale platform"));
    responses.add(Future.succeededFuture(Optional.empty()));
    responses.add(published(6, "six"));
    PlatformWatcher<String> watcher =
        PlatformWatcher.create(
            vertx,
            this::nextResponse,
            TIMINGS,
            () -> 7,
            value -> accepted.add(value.value()),
            () -> {});
    vertx.runOnContext(ignored -> watcher.start());
    done.future().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    assertThat(accepted, contains("five", "six"));
    assertThat(requestedAfter, not(hasItem(Revision.of(4))));
  }

  private Future<Optional<PublishedValue<String>>> nextResponse(Revision after, long waitMillis) {
    requestedAfter.add(after);
    if (responses.isEmpty()) {
      done.tryComplete();
      return Promise.<Optional<PublishedValue<String>>>promise().future();
    }
    return responses.pop();
  }

  private static Future<Optional<PublishedValue<String>>> published(long revision, String value) {
    return Future.succeededFuture(Optional.of(new PublishedValue<>(Revision.of(revision), value)));
  }
}
