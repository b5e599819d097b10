package org.knapweedcleat.router.forward.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.StorePosition;

class StoreWatcherTest {

  /** Within this time after a failure of the store all instances have to know what it holds. */
  private static final long CATCH_UP_MILLIS = 4_000;

  private static final int MIN_PAUSE_MILLIS = 100;
  private static final long CONFIG_APPLY_MILLIS = 3_000;
  private static final long MAX_SILENCE_MILLIS = 15_000;
  private static final long SILENCE_STEP_MILLIS = 100;

  private final SimulatedStore store = new SimulatedStore();
  private final List<PublishedItem> received = new ArrayList<>();
  private List<PublishedItem> lastListed = List.of();
  private StorePosition listedAt = StorePosition.NONE;
  private final StoreWatcher watcher =
      StoreWatcher.of(store, store, PublishedKind.ENDPOINTS, new Recorder(), CONFIG_APPLY_MILLIS);

  private final class Recorder implements StoreListener {
    @Override
    public void onListed(PublishedKind kind, List<PublishedItem> items, StorePosition position) {
      received.addAll(items);
      lastListed = List.copyOf(items);
      listedAt = position;
    }

    @Override
    public void onChanged(PublishedKind kind, List<PublishedItem> items, StorePosition position) {
      received.addAll(items);
    }

    @Override
    public void onUnavailable(PublishedKind kind, StoreException failure) {}
  }

  /** Guards against a request that was lost in the silence and is waited for long after it. */
  @ParameterizedTest
  @MethodSource("silences")
  void catchesUpInTimeAfterSilence(long silenceMillis) {
    watcher.start();
    store.run(5_000);
    store.setSilent(true);
    store.run(silenceMillis);
    store.setSilent(false);
    PublishedItem change = removal("e-1", store.next());
    store.publish("e-1", change);

    store.run(CATCH_UP_MILLIS);

    assertThat(received, hasItem(change));
  }

  /** Guards against a position that the restored store has passed again, so that it finds it. */
  @Test
  void listsAgainAfterRestoredStoreHasPassedItsPosition() {
    publishRemovals("e-1", "e-2", "e-3");
    watcher.start();
    store.run(1_000);
    store.restore(1);
    publishRemovals("e-4", "e-5", "e-6");

    store.run(CATCH_UP_MILLIS);

    assertThat(listedIds(), contains("e-1", "e-4", "e-5", "e-6"));
    assertThat(listedAt, is(StorePosition.of(2, 4)));
  }

  @Test
  void discardsListThatWasBegunBeforeRestoration() {
    publishRemovals("e-1", "e-2", "e-3");
    watcher.start();
    store.run(1);
    store.restore(1);
    publishRemovals("e-4");

    store.run(CATCH_UP_MILLIS);

    assertThat(listedIds(), contains("e-1", "e-4"));
    assertThat(listedAt, is(StorePosition.of(2, 2)));
  }

  @Test
  void followsTwoRestorationsInSeconds() {
    publishRemovals("e-1", "e-2");
    watcher.start();
    store.run(1_000);
    store.restore(1);
    publishRemovals("e-3");
    store.run(2);
    store.restore(1);
    publishRemovals("e-4", "e-5");

    store.run(CATCH_UP_MILLIS);

    assertThat(listedIds(), contains("e-1", "e-4", "e-5"));
    assertThat(listedAt, is(StorePosition.of(3, 3)));
  }

  @Test
  void ignoresLateResponseOfEarlierEra() {
    publishRemovals("e-1");
    watcher.start();
    store.run(1_000);
    final StorePage late =
        new StorePage(
            List.of(removal("e-9", StorePosition.of(1, 9))),
            Optional.empty(),
            StorePosition.of(1, 9));
    store.restore(1);
    publishRemovals("e-2");
    store.run(1_000);
    store.respondOnceWith(late);
    publishRemovals("e-3");

    store.run(CATCH_UP_MILLIS);

    assertThat(received, not(hasItem(late.items().get(0))));
    assertThat(received, hasItem(removal("e-3", StorePosition.of(2, 3))));
  }

  /** Guards against a store that is asked without pause since it has no history. */
  @Test
  void waitsBetweenWatchesThatFailForMissingHistory() {
    watcher.start();
    store.run(1_000);
    store.setForgetful(true);
    int before = store.watchRequests();
    store.run(10_000);

    assertThat(store.watchRequests() - before, lessThan(10_000 / MIN_PAUSE_MILLIS));

    store.setForgetful(false);
    publishRemovals("e-1");
    store.run(CATCH_UP_MILLIS);

    assertThat(received, hasItem(removal("e-1", StorePosition.of(1, 1))));
  }

  private void publishRemovals(String... ids) {
    for (String id : ids) {
      store.publish(id, removal(id, store.next()));
    }
  }

  private static PublishedItem.Removed removal(String id, StorePosition position) {
    return new PublishedItem.Removed(EndpointId.of(id), position);
  }

  private List<String> listedIds() {
    return lastListed.stream()
        .map(item -> ((PublishedItem.Removed) item).endpoint().value())
        .toList();
  }

  static List<Long> silences() {
    List<Long> silences = new ArrayList<>();
    for (long millis = 0; millis <= MAX_SILENCE_MILLIS; millis += SILENCE_STEP_MILLIS) {
      silences.add(millis);
    }
    return silences;
  }
}
