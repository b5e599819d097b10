package org.knapweedcleat.router.forward.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.knapweedcleat.core.balance.EngineFault;
import org.knapweedcleat.core.balance.StreamPlacement;
import org.knapweedcleat.core.balance.StreamRequirements;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EngineProfile;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.EndpointId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;

/**
 * Places one stream on engines: asks the regions' placement coordinators, or decides by local
 * knowledge where no coordinator can be asked.
 */
final class StreamPlacer {

  /** Delay between attempts to place a stream by local knowledge. */
  private static final long LOCAL_RETRY_MILLIS = 25;

  /** Delay between queries to coordinators, which all waiting calls of a region query. */
  private static final long COORDINATOR_RETRY_MILLIS = 150;

  /** Maximum number of engines that a query lists as unusable. */
  private static final int MAX_UNUSABLE_ENGINES = 30;

  private final ForwardContext context;
  private final ServiceId service;
  private final String requestId;
  private final Predicate<RegionId> allowedRegions;
  private final BooleanSupplier isFinished;
  private final StreamAdmission admission;
  private Optional<FleetMember> coordinator = Optional.empty();
  private Requirements admissionRequirements;
  private AdmissionResult result;

  /** The inputs of one attempt to place the stream. */
  record Requirements(
      List<EndpointEntry> candidates,
      Set<EndpointId> triedEngines,
      EngineProfile profile,
      StreamRequirements need,
      long remainingMillis) {

    Optional<EndpointEntry> candidate(String id) {
      return candidates.stream().filter(one -> one.id().value().equals(id)).findFirst();
    }
  }

  /**
   * Creates a placer for one stream.
   *
   * @param context the state that all calls share
   * @param service the stream's service
   * @param requestId the id of its request
   * @param allowedRegions tells which regions may serve the stream
   * @param isFinished tells whether the stream has finished, after which no placement is delivered
   */
  StreamPlacer(
      ForwardContext context,
      ServiceId service,
      String requestId,
      Predicate<RegionId> allowedRegions,
      BooleanSupplier isFinished) {
    this.context = context;
    this.service = service;
    this.requestId = requestId;
    this.allowedRegions = allowedRegions;
    this.isFinished = isFinished;
    this.admission =
        new StreamAdmission(context.placements(), service, requestId, new AdmissionHandling());
  }

  /** Delivers a placement, or none if no engine has capacity. */
  void place(Requirements requirements, Consumer<Optional<StreamPlacement>> onPlacement) {
    admission.cancel();
    if (requirements.need().ignoresCapacity()) {
      placeLocally(requirements, onPlacement);
    } else {
      askCoordinators(requirements, queryRegions(), onPlacement);
    }
  }

  /** Receives what was decided about a stream that is placed by its rank. */
  interface AdmissionResult {

    /** The stream was placed; empty if no coordinator was reached and no capacity is known. */
    void onPlacement(Optional<StreamPlacement> placement);

    /** The stream waits; it is to be asked for again if nothing follows. */
    void onQueued();

    /** The stream cannot be served in time. */
    void onRefused(long retryAfterMillis);
  }

  /** Returns whether streams of the service are queued by rank. */
  boolean isQueued() {
    return context.placements().isQueued(service) && !queryRegions().isEmpty();
  }

  /** Asks the coordinators to place the stream by its rank, or confirms that it still waits. */
  void admit(
      Requirements requirements, StreamAdmission.Terms terms, AdmissionResult admissionResult) {
    admissionRequirements = requirements;
    result = admissionResult;
    admission.ask(queryRegions(), query(requirements), terms);
  }

  /** Returns how long a stream that was not placed waits before the next attempt. */
  long retryDelayMillis() {
    return queryRegions().isEmpty() ? LOCAL_RETRY_MILLIS : COORDINATOR_RETRY_MILLIS;
  }

  private List<RegionId> queryRegions() {
    return context.placements().queryRegions().stream().filter(allowedRegions).toList();
  }

  /** Reports to the coordinator that placed the stream how an engine failed it. */
  void reportFault(EndpointId engine, EngineFault fault) {
    coordinator.ifPresent(member -> context.placements().notifyFault(member, engine, fault));
  }

  /** Releases the reservation at the coordinator. */
  void release() {
    admission.cancel();
    coordinator.ifPresent(this::releaseAt);
    coordinator = Optional.empty();
  }

  private void placeLocally(
      Requirements requirements, Consumer<Optional<StreamPlacement>> onPlacement) {
    onPlacement.accept(
        context
            .chooser()
            .placeStreamByWeight(
                context.nowMillis(),
                requirements.candidates(),
                requirements.triedEngines(),
                requirements.profile(),
                requirements.need()));
  }

  /** Queries the coordinators of the regions in order; falls back to local knowledge on failure. */
  private void askCoordinators(
      Requirements requirements,
      List<RegionId> regions,
      Consumer<Optional<StreamPlacement>> onPlacement) {
    Optional<FleetMember> firstCoordinator =
        regions.stream()
            .findFirst()
            .flatMap(region -> context.placements().coordinator(region, service));
    if (firstCoordinator.isEmpty()) {
      placeLocally(requirements, onPlacement);
      return;
    }
    FleetMember member = firstCoordinator.get();
    context
        .placements()
        .ask(member, query(requirements))
        .subscribe()
        .with(
            reply -> {
              if (reply.hasCapacity()) {
                acceptReply(member, reply, requirements, onPlacement);
              } else if (isFinished.getAsBoolean()) {
                return;
              } else if (regions.size() > 1) {
                askCoordinators(requirements, regions.subList(1, regions.size()), onPlacement);
              } else {
                onPlacement.accept(Optional.empty());
              }
            },
            failure -> {
              if (!isFinished.getAsBoolean()) {
                placeLocally(requirements, onPlacement);
              }
            });
  }

  private StreamPlacementQuery query(Requirements requirements) {
    StreamRequirements need = requirements.need();
    return new StreamPlacementQuery(
        service.value(),
        requestId,
        Math.max(1, requirements.remainingMillis()),
        need.promptTokens(),
        need.memoryTokens(),
        need.allowsSplit(),
        idValues(need.failedPrefillEngines()),
        need.usableMemoryFraction(),
        need.maxGapMillis(),
        idValues(requirements.triedEngines()),
        context.directory().endpoints().available(service).stream()
            .filter(
                one ->
                    !context.notices().isAvailable(context.nowMillis(), one)
                        || !context.health().get(one.id()).acceptsCall(context.nowMillis()))
            .limit(MAX_UNUSABLE_ENGINES)
            .map(one -> one.id().value())
            .toList());
  }

  private static List<String> idValues(Set<EndpointId> endpoints) {
    return endpoints.stream().map(EndpointId::value).toList();
  }

  /** Uses a coordinator's placement, or releases it if it is no longer usable. */
  private void acceptReply(
      FleetMember member,
      StreamPlacementReply reply,
      Requirements requirements,
      Consumer<Optional<StreamPlacement>> onPlacement) {
    coordinator.filter(previous -> !previous.equals(member)).ifPresent(this::releaseAt);
    coordinator = Optional.of(member);
    Optional<EndpointEntry> decodeEngine = requirements.candidate(reply.decodeEngine());
    Optional<EndpointEntry> prefillEngine = requirements.candidate(reply.prefillEngine());
    if (isFinished.getAsBoolean()) {
      release();
    } else if (decodeEngine.isPresent()
        && (reply.prefillEngine().isEmpty() || prefillEngine.isPresent())) {
      onPlacement.accept(
          Optional.of(
              new StreamPlacement(prefillEngine, decodeEngine.get(), reply.firstEventMillis())));
    } else {
      release();
      placeLocally(requirements, onPlacement);
    }
  }

  private void releaseAt(FleetMember member) {
    context.placements().notifyEnded(member, requestId);
  }

  /** Passes the decisions of coordinators on. */
  private final class AdmissionHandling implements StreamAdmission.Result {
    @Override
    public void onPlaced(FleetMember member, StreamPlacementReply reply) {
      acceptReply(member, reply, admissionRequirements, result::onPlacement);
    }

    @Override
    public void onQueued() {
      if (!isFinished.getAsBoolean()) {
        result.onQueued();
      }
    }

    @Override
    public void onRefused(long retryAfterMillis) {
      if (!isFinished.getAsBoolean()) {
        result.onRefused(retryAfterMillis);
      }
    }

    @Override
    public void onUnreachable() {
      if (!isFinished.getAsBoolean()) {
        placeLocally(admissionRequirements, result::onPlacement);
      }
    }
  }
}
