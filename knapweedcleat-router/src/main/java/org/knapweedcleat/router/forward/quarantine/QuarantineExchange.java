package org.knapweedcleat.router.forward.quarantine;

import com.codahale.metrics.MetricRegistry;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.fleet.ObservationSource;
import org.knapweedcleat.core.quarantine.EngineLoss;
import org.knapweedcleat.core.quarantine.PromptPartId;
import org.knapweedcleat.core.quarantine.PromptQuarantine;
import org.knapweedcleat.core.quarantine.QuarantinedPart;
import org.knapweedcleat.core.quarantine.ServedPart;
import org.knapweedcleat.router.forward.log.DecisionLog;

/** Records under which parts of prompts engines crash, and shares that with other instances. */
public final class QuarantineExchange {

  private final FleetMember self;
  private final LongSupplier clock;
  private final DecisionLog log;
  private final MetricRegistry metrics;
  private final PromptQuarantine quarantine = PromptQuarantine.create();
  private Map<PromptPartId, QuarantinedPart> logged = Map.of();
  private boolean hasNews;

  private QuarantineExchange(
      FleetMember self, LongSupplier clock, DecisionLog log, MetricRegistry metrics) {
    this.self = self;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Returns an exchange that knows of no loss.
   *
   * @param self this instance
   * @param clock supplies the monotonic time in milliseconds
   * @param log records losses and what is concluded from them
   * @param metrics counts losses
   * @return the exchange
   */
  public static QuarantineExchange of(
      FleetMember self, LongSupplier clock, DecisionLog log, MetricRegistry metrics) {
    return new QuarantineExchange(self, clock, log, metrics);
  }

  /**
   * Records that an engine was lost before it had answered a request, or when it had just begun to.
   *
   * @param engine the engine
   * @param requestId the id of the request
   * @param parts the shared parts of its prompt
   */
  public void recordLoss(EndpointEntry engine, String requestId, List<PromptPartId> parts) {
    EngineLoss loss =
        new EngineLoss(
            EndpointIncarnation.of(engine),
            requestId,
            new HashSet<>(parts),
            clock.getAsLong(),
            ObservationSource.LOCAL);
    if (record(loss)) {
      hasNews = true;
      logChanges();
    }
  }

  /**
   * Records that an engine survived a request.
   *
   * @param parts the shared parts of its prompt
   */
  public void recordServed(List<PromptPartId> parts) {
    long nowMillis = clock.getAsLong();
    boolean acquits = false;
    for (PromptPartId part : parts) {
      acquits |= quarantine.recordServed(new ServedPart(part, nowMillis, ObservationSource.LOCAL));
    }
    if (acquits) {
      hasNews = true;
      logChanges();
    }
  }

  /**
   * Returns the quarantined part because of which a request must not be sent.
   *
   * @param parts the shared parts of its prompt
   * @return the part; empty if the request may be sent
   */
  public Optional<QuarantinedPart> find(List<PromptPartId> parts) {
    return quarantine.find(clock.getAsLong(), parts);
  }

  /**
   * Returns how long a part stays in quarantine unless another engine is lost.
   *
   * @param part the part
   * @return milliseconds
   */
  public long remainingMillis(QuarantinedPart part) {
    return PromptQuarantine.QUARANTINE_MILLIS - (clock.getAsLong() - part.lastLossAtMillis());
  }

  /**
   * Returns whether there are observations that should be sent without delay.
   *
   * @return true if there are some since {@link #markSent()}
   */
  public boolean hasNews() {
    return hasNews;
  }

  /** Records that the observations have been sent. */
  public void markSent() {
    hasNews = false;
  }

  /**
   * Returns what to tell other instances.
   *
   * @param sources whose observations to report
   * @param answersForOthers whether to report that engines survived a part also if the losses were
   *     observed by others
   * @return the message; empty if there is nothing to say
   */
  public Optional<QuarantineNotice> recentNotice(
      Set<ObservationSource> sources, boolean answersForOthers) {
    long nowMillis = clock.getAsLong();
    List<EngineLoss> losses = quarantine.recentLosses(nowMillis, sources);
    List<EngineLoss> blaming =
        answersForOthers
            ? quarantine.recentLosses(nowMillis, EnumSet.allOf(ObservationSource.class))
            : losses;
    return notice(sources, losses, blaming);
  }

  /**
   * Returns all that keeps parts in quarantine, for instances that have just started.
   *
   * @return the message; empty if nothing is quarantined
   */
  public Optional<QuarantineNotice> fullNotice() {
    List<EngineLoss> losses = quarantine.quarantiningLosses(clock.getAsLong());
    return losses.isEmpty()
        ? Optional.empty()
        : notice(EnumSet.allOf(ObservationSource.class), losses, losses);
  }

  private Optional<QuarantineNotice> notice(
      Set<ObservationSource> sources, List<EngineLoss> losses, List<EngineLoss> blaming) {
    long nowMillis = clock.getAsLong();
    List<ServedPart> served = quarantine.acquittals(nowMillis, sources, blaming);
    if (losses.isEmpty() && served.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new QuarantineNotice(
            self,
            losses.stream().map(loss -> EngineLossReport.of(nowMillis, loss)).toList(),
            served.stream().map(part -> ServedPartReport.of(nowMillis, part)).toList()));
  }

  /**
   * Records what another instance reports.
   *
   * @param notice its message
   */
  public void onNotice(QuarantineNotice notice) {
    long nowMillis = clock.getAsLong();
    ObservationSource source =
        notice.sender().domain().equals(self.domain())
            ? ObservationSource.OWN_DOMAIN
            : ObservationSource.OTHER_DOMAIN;
    boolean changed = false;
    for (ServedPartReport report : notice.served()) {
      changed |= quarantine.recordServed(report.toServedPart(nowMillis, source));
    }
    for (EngineLossReport report : notice.losses()) {
      changed |= record(report.toLoss(nowMillis, source));
    }
    if (changed) {
      hasNews = true;
      logChanges();
    }
  }

  private boolean record(EngineLoss loss) {
    if (!quarantine.recordLoss(loss)) {
      return false;
    }
    metrics.counter("engines.lost." + loss.source().name().toLowerCase(Locale.ROOT)).inc();
    log.failure(
        "engine.lost",
        "requestId",
        loss.requestId(),
        "endpoint",
        loss.engine().id(),
        "parts",
        new TreeSet<>(loss.parts()),
        "ageMillis",
        clock.getAsLong() - loss.observedAtMillis(),
        "source",
        loss.source());
    return true;
  }

  private void logChanges() {
    Map<PromptPartId, QuarantinedPart> current = new HashMap<>();
    for (QuarantinedPart part : quarantine.quarantined(clock.getAsLong())) {
      current.put(part.part(), part);
      QuarantinedPart previous = logged.get(part.part());
      if (previous == null) {
        metrics.counter("prompts.quarantined").inc();
      }
      if (previous == null || !previous.companions().equals(part.companions())) {
        logQuarantined(part);
      }
    }
    logged.keySet().stream()
        .filter(part -> !current.containsKey(part))
        .forEach(part -> log.stateChange("prompt.released", "part", part));
    logged = current;
  }

  private void logQuarantined(QuarantinedPart part) {
    log.stateChange(
        "prompt.quarantined",
        "part",
        part.part(),
        "companions",
        new TreeSet<>(part.companions()),
        "crashedEngines",
        part.crashedEngines(),
        "requests",
        part.requests(),
        "lastLossAgeMillis",
        clock.getAsLong() - part.lastLossAtMillis());
  }
}
