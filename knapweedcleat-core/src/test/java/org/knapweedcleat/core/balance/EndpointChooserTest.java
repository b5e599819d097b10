package org.knapweedcleat.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;

class EndpointChooserTest {

  private static final EngineProfile PROFILE = new EngineProfile(64, 34_000, 500, 13);
  private static final StreamNeed NEED =
      new StreamNeed(3_000, 3_300, true, Set.of(), 0.93, false, 300);

  private final WorkBook work = WorkBook.of(1_000);
  private final HealthBook health = HealthBook.create();
  private final EndpointChooser chooser =
      EndpointChooser.of(
          DomainMap.of(
              FailureDomainId.of("near"),
              Map.of(
                  FailureDomainId.of("near"), RegionId.of("r1"),
                  FailureDomainId.of("beside"), RegionId.of("r1"),
                  FailureDomainId.of("far"), RegionId.of("r2"))),
          work,
          health,
          () -> 0);

  private final EndpointEntry nearReader = engine("p-near", "near", EndpointStage.PREFILL);
  private final EndpointEntry nearDecoder = engine("d-near", "near", EndpointStage.DECODE);
  private final EndpointEntry farDecoder = engine("d-far", "far", EndpointStage.DECODE);
  private final List<EndpointEntry> engines = List.of(nearReader, nearDecoder, farDecoder);

  @Test
  void plainCallGoesToNearestIdleEndpoint() {
    EndpointEntry near = engine("near", "near", EndpointStage.WHOLE);
    EndpointEntry far = engine("far", "far", EndpointStage.WHOLE);

    assertThat(chooser.plain(0, List.of(far, near), Set.of()), is(Optional.of(near)));
  }

  @Test
  void plainCallLeavesFullEndpointForFarOne() {
    EndpointEntry near = engine("near", "near", EndpointStage.WHOLE);
    EndpointEntry far = engine("far", "far", EndpointStage.WHOLE);
    work.begin(near.id(), new EndpointWork(20, 0, 0));

    assertThat(chooser.plain(0, List.of(far, near), Set.of()), is(Optional.of(far)));
  }

  /** One of many plain endpoints was drawn evenly, whatever it had to do. */
  @Test
  void fullEndpointOfManyIsSeldomDrawn() {
    List<EndpointEntry> many =
        IntStream.range(0, 10)
            .mapToObj(i -> engine("e-" + i, "near", EndpointStage.WHOLE))
            .toList();
    many.subList(0, 5).forEach(one -> work.begin(one.id(), new EndpointWork(640, 0, 0)));
    Random random = new Random(20261204);
    EndpointChooser drawing =
        EndpointChooser.of(
            DomainMap.of(
                FailureDomainId.of("near"), Map.of(FailureDomainId.of("near"), RegionId.of("r1"))),
            work,
            health,
            random::nextDouble);

    long full =
        IntStream.range(0, 1_000)
            .mapToObj(i -> drawing.plain(0, many, Set.of()).orElseThrow())
            .filter(one -> many.indexOf(one) < 5)
            .count();

    assertThat(full, lessThan(200L));
  }

  @Test
  void streamIsSplitWithinDomain() {
    StreamPlacement placement = place(NEED).get();

    assertThat(placement.prefill(), is(Optional.of(nearReader)));
    assertThat(placement.decode(), is(nearDecoder));
  }

  @Test
  void decodeEngineReadsItselfWhenReadersAreBehind() {
    work.begin(nearReader.id(), new EndpointWork(8, 30_000, 30_000));

    assertThat(place(NEED).get().prefill(), is(Optional.empty()));
  }

  @Test
  void longPromptIsNotReadBesideRunningStreams() {
    work.begin(nearReader.id(), new EndpointWork(8, 30_000, 30_000));
    work.begin(nearDecoder.id(), new EndpointWork(1, 0, 3_000));
    work.begin(farDecoder.id(), new EndpointWork(1, 0, 3_000));
    StreamNeed longPrompt = new StreamNeed(5_000, 5_300, true, Set.of(), 0.93, false, 300);

    assertThat(place(longPrompt).get().prefill(), is(Optional.of(nearReader)));
  }

  @Test
  void longPromptIsNotReadAtAnEngineThatOthersMayUse() {
    work.begin(nearReader.id(), new EndpointWork(8, 30_000, 30_000));
    StreamNeed longPrompt = new StreamNeed(5_000, 5_300, true, Set.of(), 0.93, false, 300);

    assertThat(place(longPrompt).get().prefill(), is(Optional.of(nearReader)));
  }

  @Test
  void promptsThatTogetherPauseRunningStreamsAreNotReadBesideThem() {
    work.begin(nearReader.id(), new EndpointWork(8, 30_000, 30_000));
    work.begin(nearDecoder.id(), new EndpointWork(2, 2_000, 5_000));
    work.begin(farDecoder.id(), new EndpointWork(2, 2_000, 5_000));

    assertThat(place(NEED).get().prefill(), is(Optional.of(nearReader)));
  }

  @Test
  void readerWhosePromptsCameToNothingIsNotAskedAgain() {
    EndpointEntry other = engine("p-far", "far", EndpointStage.PREFILL);
    StreamNeed again =
        new StreamNeed(3_000, 3_300, true, Set.of(nearReader.id()), 0.93, false, 300);
    work.begin(nearDecoder.id(), new EndpointWork(2, 2_000, 5_000));
    work.begin(farDecoder.id(), new EndpointWork(2, 2_000, 5_000));

    Optional<StreamPlacement> placement =
        chooser.stream(
            0, List.of(nearReader, other, nearDecoder, farDecoder), Set.of(), PROFILE, again);

    assertThat(placement.get().prefill(), is(Optional.of(other)));
  }

  @Test
  void decodeEngineReadsWhenEveryReaderFailed() {
    StreamNeed again =
        new StreamNeed(3_000, 3_300, true, Set.of(nearReader.id()), 0.93, false, 300);

    assertThat(place(again).get().prefill(), is(Optional.empty()));
  }

  @Test
  void fullEnginesGetNothing() {
    EndpointWork full = new EndpointWork(9, 0, 31_000);
    work.begin(nearDecoder.id(), full);
    assertThat(place(NEED).get().decode(), is(farDecoder));

    work.begin(farDecoder.id(), full);
    assertThat(place(NEED), is(Optional.empty()));
  }

  @Test
  void streamThatGoesOnIsPlacedWithoutRoom() {
    EndpointWork full = new EndpointWork(9, 0, 34_000);
    work.begin(nearDecoder.id(), full);
    work.begin(farDecoder.id(), full);

    assertThat(
        place(new StreamNeed(3_000, 3_300, false, Set.of(), 0.93, true, 300)).get().decode(),
        is(nearDecoder));
  }

  @Test
  void engineOutOfReachIsLeftOutAlsoWhenRestIsFull() {
    health.of(nearDecoder.id()).unreachable();
    work.begin(farDecoder.id(), new EndpointWork(9, 0, 34_000));

    assertThat(place(NEED), is(Optional.empty()));
  }

  @Test
  void triedEngineIsNotTriedAgainWhileThereIsAnother() {
    Optional<StreamPlacement> placement =
        chooser.stream(0, engines, Set.of(nearDecoder.id()), PROFILE, NEED);

    assertThat(placement.get().decode(), is(farDecoder));
  }

  private Optional<StreamPlacement> place(StreamNeed need) {
    return chooser.stream(0, engines, Set.of(), PROFILE, need);
  }

  private static EndpointEntry engine(String id, String domain, EndpointStage stage) {
    return new EndpointEntry(
        EndpointId.of(id),
        0,
        ServiceId.of("notes"),
        "127.0.0.1",
        9000,
        FailureDomainId.of(domain),
        stage,
        6,
        false);
  }
}
