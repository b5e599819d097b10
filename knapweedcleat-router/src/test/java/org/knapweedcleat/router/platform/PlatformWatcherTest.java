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

  private static final PlatformWatcher.WatchTimings TIMES = new PlatformWatcher.WatchTimings(50, 50);

  private final Vertx vertx = Vertx.vertx();
  private final Deque<Future<Optional<PublishedValue<String>>>> answers = new ArrayDeque<>();
  private final List<String> taken = new ArrayList<>();
  private final List<Revision> asked = new ArrayList<>();
  private final Promise<Void> done = Promise.promise();

  @AfterEach
  void closeAll() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
  }

  @Test
  void takesOnlyNewerValuesAndSurvivesAnOutage() throws Exception {
    answers.add(published(5, "five"));
    answers.add(Future.failedFuture(PlatformException.of(PlatformFault.UNREACHABLE)));
    answers.add(published(4, "four, from a stale platform"));
    answers.add(Future.succeededFuture(Optional.empty()));
    answers.add(published(6, "six"));
    PlatformWatcher<String> watch =
        PlatformWatcher.create(
            vertx, this::answer, TIMES, () -> 7, value -> taken.add(value.value()), () -> {});
    vertx.runOnContext(ignored -> watch.start());
    done.future().toCompletionStage().toCompletableFuture().get(1, TimeUnit.MINUTES);
    assertThat(taken, contains("five", "six"));
    assertThat(asked, not(hasItem(Revision.of(4))));
  }

  private Future<Optional<PublishedValue<String>>> answer(Revision after, long waitMillis) {
    asked.add(after);
    if (answers.isEmpty()) {
      done.tryComplete();
      return Promise.<Optional<PublishedValue<String>>>promise().future();
    }
    return answers.pop();
  }

  private static Future<Optional<PublishedValue<String>>> published(long revision, String value) {
    return Future.succeededFuture(Optional.of(new PublishedValue<>(Revision.of(revision), value)));
  }
}
