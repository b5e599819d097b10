package org.knapweedcleat.core.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.id.EndpointId;

class PromptQuarantineTest {

  private final PromptQuarantine quarantine = PromptQuarantine.create();

  @Test
  void threeEnginesLostUnderDifferentRequestsQuarantinePart() {
    lose("e-1", "r-1", 1_000, "bad", "a");
    lose("e-2", "r-2", 2_000, "bad", "b");
    assertThat(isBlocked(2_000, "bad", "a"), is(false));

    lose("e-3", "r-3", 3_000, "bad", "a");

    assertThat(isBlocked(3_000, "bad", "a"), is(true));
    assertThat(isBlocked(3_000, "bad", "c"), is(true));
    assertThat(isBlocked(3_000, "a", "b"), is(false));
  }

  @Test
  void enginesLostUnderRepeatsOfOneRequestQuarantineNothing() {
    lose("e-1", "r-1", 1_000, "bad");
    lose("e-2", "r-1", 2_000, "bad");
    lose("e-3", "r-1", 3_000, "bad");

    assertThat(quarantine.quarantined(3_000), empty());
  }

  @Test
  void severalRequestsLostWithOneEngineCountAsOneEngine() {
    lose("e-1", "r-1", 1_000, "a");
    lose("e-1", "r-2", 1_000, "a");
    lose("e-1", "r-3", 1_000, "a");
    lose("e-2", "r-4", 2_000, "a");

    assertThat(quarantine.quarantined(3_000), empty());
  }

  @Test
  void restartedEngineCountsAgain() {
    for (int start = 1; start <= 3; start++) {
      quarantine.recordLoss(loss("e-1", start, "r-" + start, start * 1_000, "bad"));
    }

    assertThat(isBlocked(3_000, "bad"), is(true));
  }

  @Test
  void companionsNarrowWhatIsBlockedUntilOneOfThemIsServed() {
    for (int i = 1; i <= 3; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "shared", "bad");
    }
    assertThat(isBlocked(3_000, "shared", "bad"), is(true));
    assertThat(isBlocked(3_000, "shared", "sound"), is(false));
    assertThat(isBlocked(3_000, "other", "bad"), is(false));

    assertThat(serve("shared", 3_100), is(true));

    assertThat(isBlocked(3_100, "other", "bad"), is(true));
    assertThat(isBlocked(3_100, "shared", "sound"), is(false));
  }

  @Test
  void lossUnderOtherCompanionsNarrowsThePart() {
    for (int i = 1; i <= 3; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "shared", "bad");
    }
    lose("e-4", "r-4", 4_000, "other", "bad");

    assertThat(isBlocked(4_000, "third", "bad"), is(true));
    assertThat(isBlocked(4_000, "shared"), is(false));
  }

  @Test
  void requestsThatRanBesideAreNotBlamed() {
    for (int i = 1; i <= 4; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "bad", "x" + i);
      if (i > 1) {
        lose("e-" + i, "s-" + i, i * 1_000, "session");
      }
    }

    assertThat(
        quarantine.quarantined(4_000).stream().map(QuarantinedPart::part).toList(),
        contains(PromptPartId.of("bad")));
  }

  @Test
  void partsThatBothCrashAreBothQuarantined() {
    serve("shared", 500);
    for (int i = 1; i <= 3; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "shared", "bad-1");
      lose("f-" + i, "q-" + i, i * 1_000 + 500, "shared", "bad-2");
      serve("shared", i * 1_000 + 900);
    }

    assertThat(isBlocked(4_000, "shared", "bad-1"), is(true));
    assertThat(isBlocked(4_000, "shared", "bad-2"), is(true));
    assertThat(isBlocked(4_000, "shared", "sound"), is(false));
  }

  /** Guards against a common part that is blamed when many engines crash for another reason. */
  @Test
  void partThatWasServedIsNotBlamedWhenManyEnginesAreLostAtOnce() {
    serve("shared", 900);
    for (int i = 1; i <= 40; i++) {
      lose("e-" + i, "r-" + i, 1_000 + i * 20, "shared", "x" + i);
    }

    assertThat(quarantine.quarantined(2_000), empty());
  }

  @Test
  void partThatWasServedOnceIsQuarantinedAfterMoreLosses() {
    serve("bad", 500);
    for (int i = 1; i <= 4; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "bad");
    }
    assertThat(isBlocked(4_000, "bad"), is(false));

    lose("e-5", "r-5", 5_000, "bad");

    assertThat(isBlocked(5_000, "bad"), is(true));
  }

  @Test
  void quarantineEndsAndSingleLossRenewsIt() {
    for (int i = 1; i <= 3; i++) {
      lose("e-" + i, "r-" + i, i * 1_000, "bad");
    }
    long endMillis = 3_000 + PromptQuarantine.QUARANTINE_MILLIS;
    assertThat(isBlocked(endMillis, "bad"), is(true));
    assertThat(isBlocked(endMillis + 1, "bad"), is(false));

    lose("e-4", "r-4", endMillis + 2, "bad");

    assertThat(isBlocked(endMillis + 2, "bad"), is(true));
  }

  @Test
  void observationsCountOnce() {
    assertThat(quarantine.recordLoss(loss("e-1", 1, "r-1", 1_000, "bad")), is(true));
    assertThat(quarantine.recordLoss(loss("e-1", 1, "r-1", 1_010, "bad")), is(false));
    assertThat(quarantine.recordLoss(loss("e-2", 1, "r-2", 1_010)), is(false));
    assertThat(serve("bad", 1_100), is(true));
    assertThat(serve("bad", 1_100), is(false));
    assertThat(serve("bad", 1_200), is(false));
  }

  @Test
  void onlyRecentObservationsOfTheGivenSourcesAreReported() {
    lose("e-1", "r-1", 1_000, "a", "b");
    serve("b", 1_100);
    Set<ObservationSource> local = Set.of(ObservationSource.LOCAL);
    Set<ObservationSource> remote = Set.of(ObservationSource.OTHER_DOMAIN);

    assertThat(quarantine.recentLosses(1_500, local), hasSize(1));
    assertThat(quarantine.recentLosses(1_500, remote), empty());
    assertThat(quarantine.recentLosses(9_000, local), empty());
    assertThat(quarantine.acquittals(1_500, local, List.of()), hasSize(1));
    assertThat(quarantine.acquittals(1_500, remote, List.of()), empty());
    assertThat(quarantine.acquittals(9_000, local, List.of()), empty());
  }

  @Test
  void stateIsBounded() {
    for (int i = 0; i < 20_000; i++) {
      lose("e-" + i, "r-" + i, i, "a" + i, "b" + i);
      serve("c" + i, i);
    }

    assertThat(quarantine.recentLosses(20_000, Set.of(ObservationSource.LOCAL)), hasSize(64));
  }

  private void lose(String engine, String request, long atMillis, String... parts) {
    quarantine.recordLoss(loss(engine, 1, request, atMillis, parts));
  }

  private static EngineLoss loss(
      String engine, long start, String request, long atMillis, String... parts) {
    return new EngineLoss(
        new EndpointIncarnation(EndpointId.of(engine), start),
        request,
        Arrays.stream(parts).map(PromptPartId::of).collect(Collectors.toSet()),
        atMillis,
        ObservationSource.LOCAL);
  }

  private boolean serve(String part, long atMillis) {
    return quarantine.recordServed(
        new ServedPart(PromptPartId.of(part), atMillis, ObservationSource.LOCAL));
  }

  private boolean isBlocked(long nowMillis, String... parts) {
    return quarantine
        .find(nowMillis, Arrays.stream(parts).map(PromptPartId::of).toList())
        .isPresent();
  }
}
