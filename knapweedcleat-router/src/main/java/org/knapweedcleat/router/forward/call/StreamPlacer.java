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
import org.knapweedcleat.router.forward.room.RoomAnswer;
import org.knapweedcleat.router.forward.room.RoomQuestion;

/**
 * Finds where one stream may run: by the keepers of the regions' room, or by what this instance
 * knows where no keeper is to be asked.
 */
final class StreamPlacer {

  /** The pause between tries to find room by what this instance knows. */
  private static final long ALONE_RETRY_MILLIS = 25;

  /** The pause between questions to keepers, which all waiting calls of a region ask. */
  private static final long KEEPER_RETRY_MILLIS = 150;

  /** The most engines that a question names as not to be used. */
  private static final int MAX_AVOIDED = 30;

  private final ForwardContext context;
  private final ServiceId service;
  private final String requestId;
  private final BooleanSupplier isOver;
  private Optional<FleetMember> keptBy = Optional.empty();

  /** What a stream wants at one try. */
  record Wanted(
      List<EndpointEntry> candidates,
      Set<EndpointId> tried,
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
    this.isOver = isOver;
  }

  /** Finds a place and passes it on, or none if no engine has room. */
  void find(Wanted wanted, Consumer<Optional<StreamPlacement>> found) {
    if (wanted.need().forced()) {
      findAlone(wanted, found);
    } else {
      ask(wanted, context.rooms().regions(), found);
    }
  }

  /** Returns how long a stream without a place waits before the next try. */
  long retryMillis() {
    return context.rooms().regions().isEmpty() ? ALONE_RETRY_MILLIS : KEEPER_RETRY_MILLIS;
  }

  /** Tells the keeper that gave the place how an engine failed the stream. */
  void failed(EndpointId engine, EngineFault fault) {
    keptBy.ifPresent(keeper -> context.rooms().tellFault(keeper, engine, fault));
  }

  /** Gives the place back. */
  void release() {
    keptBy.ifPresent(this::giveBack);
    keptBy = Optional.empty();
  }

  private void findAlone(Wanted wanted, Consumer<Optional<StreamPlacement>> found) {
    found.accept(
        context.chooser().stream(
            context.nowMillis(),
            wanted.candidates(),
            wanted.tried(),
            wanted.profile(),
            wanted.need()));
  }

  /** Asks the keepers of some regions in turn; who does not answer is not waited for. */
  private void ask(
      Wanted wanted, List<RegionId> regions, Consumer<Optional<StreamPlacement>> found) {
    Optional<FleetMember> asked =
        regions.stream().findFirst().flatMap(region -> context.rooms().keeper(region, service));
    if (asked.isEmpty()) {
      findAlone(wanted, found);
      return;
    }
    FleetMember keeper = asked.get();
    context
        .rooms()
        .ask(keeper, question(wanted))
        .subscribe()
        .with(
            answer -> {
              if (answer.hasRoom()) {
                take(keeper, answer, wanted, found);
              } else if (isOver.getAsBoolean()) {
                return;
              } else if (regions.size() > 1) {
                ask(wanted, regions.subList(1, regions.size()), found);
              } else {
                found.accept(Optional.empty());
              }
            },
            failure -> {
              if (!isOver.getAsBoolean()) {
                findAlone(wanted, found);
              }
            });
  }

  private RoomQuestion question(Wanted wanted) {
    StreamNeed need = wanted.need();
    return new RoomQuestion(
        service.value(),
        requestId,
        Math.max(1, wanted.remainingMillis()),
        need.promptTokens(),
        need.memoryTokens(),
        need.split(),
        names(need.failedReaders()),
        need.usableMemory(),
        need.maxGapMillis(),
        names(wanted.tried()),
        wanted.candidates().stream()
            .filter(one -> !context.health().of(one.id()).isTrusted(context.nowMillis()))
            .limit(MAX_AVOIDED)
            .map(one -> one.id().value())
            .toList());
  }

  private static List<String> names(Set<EndpointId> endpoints) {
    return endpoints.stream().map(EndpointId::value).toList();
  }

  /** Uses a place that a keeper gave, or gives it back. */
  private void take(
      FleetMember keeper,
      RoomAnswer answer,
      Wanted wanted,
      Consumer<Optional<StreamPlacement>> found) {
    keptBy.filter(before -> !before.equals(keeper)).ifPresent(this::giveBack);
    keptBy = Optional.of(keeper);
    Optional<EndpointEntry> engine = wanted.candidate(answer.engine());
    Optional<EndpointEntry> reader = wanted.candidate(answer.reader());
    if (isOver.getAsBoolean()) {
      release();
    } else if (engine.isPresent() && (answer.reader().isEmpty() || reader.isPresent())) {
      found.accept(
          Optional.of(new StreamPlacement(reader, engine.get(), answer.firstEventMillis())));
    } else {
      release();
      findAlone(wanted, found);
    }
  }

  private void giveBack(FleetMember keeper) {
    context.rooms().tellEnded(keeper, requestId);
  }
}
