package org.knapweedcleat.router.forward.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamNeed;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;

/**
 * Finds where one stream may run: by the keepers of the regions' room, or by what this instance
 * knows where no keeper is to be asked.
 */
final class StreamPlacer {

  /** The pause between tries to find room by what this instance knows. */
  private static final long LOCAL_RETRY_MILLIS = 25;

  /** The pause between questions to keepers, which all waiting calls of a region ask. */
  private static final long COORDINATOR_RETRY_MILLIS = 150;

  /** The most engines that a question names as not to be used. */
  private static final int MAX_UNUSABLE_ENGINES = 30;

  private final ForwardContext context;
  private final ServiceId service;
  private final String requestId;
  private final BooleanSupplier isFinished;
  private Optional<FleetMember> coordinator = Optional.empty();

  /** What a stream wants at one try. */
  record Requirements(
      List<EndpointEntry> candidates,
      Set<EndpointId> triedEngines,
      EngineProfile profile,
      StreamNeed need,
      long remainingMillis) {

    Optional<EndpointEntry> candidate(String id) {
      return candidates.stream().filter(one -> one.id().value().equals(id)).findFirst();
    }
  }

  /**
   * Makes a placer of one stream.
   *
   * @param context what all calls share
   * @param service the stream's service
   * @param requestId its request
   * @param isOver tells whether it has ended, after which no placement is passed on
   */
  StreamPlacer(
      ForwardContext context, ServiceId service, String requestId, BooleanSupplier isOver) {
    this.context = context;
    this.service = service;
    this.requestId = requestId;
    this.isFinished = isOver;
  }

  /** Finds a place and passes it on, or none if no engine has room. */
  void place(Requirements wanted, Consumer<Optional<StreamPlacement>> found) {
    if (wanted.need().forced()) {
      placeLocally(wanted, found);
    } else {
      askCoordinators(wanted, context.placements().queryRegions(), found);
    }
  }

  /** Returns how long a stream without a place waits before the next try. */
  long retryDelayMillis() {
    return context.placements().queryRegions().isEmpty()
        ? LOCAL_RETRY_MILLIS
        : COORDINATOR_RETRY_MILLIS;
  }

  /** Tells the keeper that gave the place how an engine failed the stream. */
  void reportFault(EndpointId engine, EngineFault fault) {
    coordinator.ifPresent(keeper -> context.placements().notifyFault(keeper, engine, fault));
  }

  /** Gives the place back. */
  void release() {
    coordinator.ifPresent(this::releaseAt);
    coordinator = Optional.empty();
  }

  private void placeLocally(Requirements wanted, Consumer<Optional<StreamPlacement>> found) {
    found.accept(
        context.chooser().stream(
            context.nowMillis(),
            wanted.candidates(),
            wanted.triedEngines(),
            wanted.profile(),
            wanted.need()));
  }

  /** Asks the keepers of some regions in turn; who does not answer is not waited for. */
  private void askCoordinators(
      Requirements wanted, List<RegionId> regions, Consumer<Optional<StreamPlacement>> found) {
    Optional<FleetMember> asked =
        regions.stream()
            .findFirst()
            .flatMap(region -> context.placements().coordinator(region, service));
    if (asked.isEmpty()) {
      placeLocally(wanted, found);
      return;
    }
    FleetMember keeper = asked.get();
    context
        .placements()
        .ask(keeper, query(wanted))
        .subscribe()
        .with(
            answer -> {
              if (answer.hasCapacity()) {
                acceptReply(keeper, answer, wanted, found);
              } else if (isFinished.getAsBoolean()) {
                return;
              } else if (regions.size() > 1) {
                askCoordinators(wanted, regions.subList(1, regions.size()), found);
              } else {
                found.accept(Optional.empty());
              }
            },
            failure -> {
              if (!isFinished.getAsBoolean()) {
                placeLocally(wanted, found);
              }
            });
  }

  private StreamPlacementQuery query(Requirements wanted) {
    StreamNeed need = wanted.need();
    return new StreamPlacementQuery(
        service.value(),
        requestId,
        Math.max(1, wanted.remainingMillis()),
        need.promptTokens(),
        need.memoryTokens(),
        need.split(),
        idValues(need.failedReaders()),
        need.usableMemory(),
        need.maxGapMillis(),
        idValues(wanted.triedEngines()),
        wanted.candidates().stream()
            .filter(one -> !context.health().of(one.id()).isTrusted(context.nowMillis()))
            .limit(MAX_UNUSABLE_ENGINES)
            .map(one -> one.id().value())
            .toList());
  }

  private static List<String> idValues(Set<EndpointId> endpoints) {
    return endpoints.stream().map(EndpointId::value).toList();
  }

  /** Uses a place that a keeper gave, or gives it back. */
  private void acceptReply(
      FleetMember keeper,
      StreamPlacementReply answer,
      Requirements wanted,
      Consumer<Optional<StreamPlacement>> found) {
    coordinator.filter(before -> !before.equals(keeper)).ifPresent(this::releaseAt);
    coordinator = Optional.of(keeper);
    Optional<EndpointEntry> engine = wanted.candidate(answer.decodeEngine());
    Optional<EndpointEntry> reader = wanted.candidate(answer.prefillEngine());
    if (isFinished.getAsBoolean()) {
      release();
    } else if (engine.isPresent() && (answer.prefillEngine().isEmpty() || reader.isPresent())) {
      found.accept(
          Optional.of(new StreamPlacement(reader, engine.get(), answer.firstEventMillis())));
    } else {
      release();
      placeLocally(wanted, found);
    }
  }

  private void releaseAt(FleetMember keeper) {
    context.placements().notifyEnded(keeper, requestId);
  }
}
