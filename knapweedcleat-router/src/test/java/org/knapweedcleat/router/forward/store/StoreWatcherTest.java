package org.knapweedcleat.router.forward.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedcleat.core.id.EndpointId;

class StoreWatcherTest {

  /** Within this time after a failure of the store all instances have to know what it holds. */
  private static final long CATCH_UP_MILLIS = 4_000;

  private static final long CONFIG_APPLY_MILLIS = 3_000;
  private static final long MAX_SILENCE_MILLIS = 15_000;
  private static final long SILENCE_STEP_MILLIS = 100;

  private final SimulatedStore store = new SimulatedStore();
  private final List<PublishedItem> received = new ArrayList<>();
  private final StoreWatcher watcher =
      StoreWatcher.of(store, store, PublishedKind.ENDPOINTS, new Recorder(), CONFIG_APPLY_MILLIS);

  private final class Recorder implements StoreListener {
    @Override
    public void onListed(PublishedKind kind, List<PublishedItem> items, long revision) {
      received.addAll(items);
    }

    @Override
    public void onChanged(PublishedKind kind, List<PublishedItem> items, long revision) {
      received.addAll(items);
    }

    @Override
    public void onUnavailable(PublishedKind kind, StoreException failure) {}
  }

  /** Guards against a request that was lost in the silence and is waited for long after it. */
  @ParameterizedTest
  @MethodSource("silences")
  void catchesUpInTimeAfterASilence(long silenceMillis) {
    watcher.start();
    store.run(5_000);
    store.setSilent(true);
    store.run(silenceMillis);
    store.setSilent(false);
    PublishedItem change = new PublishedItem.Removed(EndpointId.of("e-1"), store.nextRevision());
    store.publish("e-1", change);

    store.run(CATCH_UP_MILLIS);

    assertThat(received, hasItem(change));
  }

  static List<Long> silences() {
    List<Long> silences = new ArrayList<>();
    for (long millis = 0; millis <= MAX_SILENCE_MILLIS; millis += SILENCE_STEP_MILLIS) {
      silences.add(millis);
    }
    return silences;
  }
}
