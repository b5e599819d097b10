package org.knapweedcleat.router.forward.speed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.balance.DomainTopology;
import org.knapweedcleat.core.balance.EngineSpeeds;
import org.knapweedcleat.core.balance.SpeedReport;
import org.knapweedcleat.core.fleet.FleetMember;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.RegionId;
import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.router.forward.room.PlacementExchange;
import org.knapweedcleat.router.forward.store.DirectoryCache;

/**
 * Sends this instance's observations of engines to the coordinators that place streams there, and
 * records those of other instances. In a small fleet, which has no coordinators, nothing is sent.
 */
public final class EngineSpeedExchange {

  private static final long SEND_INTERVAL_MILLIS = 500;

  /** Bounds a notice, and what is accepted of one, to about 3 kB. */
  private static final int MAX_REPORTS = 32;

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final EngineSpeeds speeds;
  private final PlacementExchange placements;
  private final DirectoryCache directory;
  private final DomainTopology domains;
  private final LongSupplier clock;
  private long sentAtMillis = NEVER_MILLIS;

  private record CoordinatorKey(RegionId region, ServiceId service) {}

  private EngineSpeedExchange(
      EngineSpeeds speeds,
      PlacementExchange placements,
      DirectoryCache directory,
      DomainTopology domains,
      LongSupplier clock) {
    this.speeds = speeds;
    this.placements = placements;
    this.directory = directory;
    this.domains = domains;
    this.clock = clock;
  }

  /**
   * Returns an exchange.
   *
   * @param speeds the observations of this and other instances
   * @param placements finds and reaches coordinators
   * @param directory the published endpoints
   * @param domains the regions of failure domains
   * @param clock supplies the monotonic time in milliseconds
   * @return the exchange
   */
  public static EngineSpeedExchange of(
      EngineSpeeds speeds,
      PlacementExchange placements,
      DirectoryCache directory,
      DomainTopology domains,
      LongSupplier clock) {
    return new EngineSpeedExchange(speeds, placements, directory, domains, clock);
  }

  /**
   * Returns the observations, to add to them.
   *
   * @return the speed of each engine
   */
  public EngineSpeeds speeds() {
    return speeds;
  }

  /** Updates the estimates, and sends new observations when they are due. */
  public void tick() {
    long nowMillis = clock.getAsLong();
    speeds.tick(nowMillis);
    if (nowMillis - sentAtMillis < SEND_INTERVAL_MILLIS || placements.queryRegions().isEmpty()) {
      return;
    }
    List<SpeedReport> reports = speeds.takeReports(nowMillis, MAX_REPORTS);
    if (!reports.isEmpty()) {
      sentAtMillis = nowMillis;
      byCoordinator(reports)
          .forEach((member, list) -> placements.notifySpeeds(member, notice(nowMillis, list)));
    }
  }

  /** Returns the reports that each coordinator can use: those on the engines of its region. */
  private Map<FleetMember, List<SpeedReport>> byCoordinator(List<SpeedReport> reports) {
    Map<CoordinatorKey, Optional<FleetMember>> coordinators = new HashMap<>();
    Map<FleetMember, List<SpeedReport>> reportsByMember = new LinkedHashMap<>();
    for (SpeedReport report : reports) {
      directory
          .endpoints()
          .find(report.engine())
          .flatMap(entry -> domains.region(entry.domain()))
          .flatMap(
              region ->
                  coordinators.computeIfAbsent(
                      new CoordinatorKey(region, report.service()),
                      key -> placements.coordinator(key.region(), key.service())))
          .ifPresent(
              member ->
                  reportsByMember.computeIfAbsent(member, key -> new ArrayList<>()).add(report));
    }
    return reportsByMember;
  }

  private static EngineSpeedNotice notice(long nowMillis, List<SpeedReport> reports) {
    return new EngineSpeedNotice(
        reports.stream().map(report -> EngineSpeedReport.of(nowMillis, report)).toList());
  }

  /**
   * Records, as coordinator, what another instance has observed.
   *
   * @param from the other instance
   * @param notice its observations
   */
  public void onNotice(IncarnationId from, EngineSpeedNotice notice) {
    long nowMillis = clock.getAsLong();
    notice.reports().stream()
        .limit(MAX_REPORTS)
        .forEach(report -> speeds.recordReport(nowMillis, from, report.toReport(nowMillis)));
  }

  /**
   * Removes what an instance has reported that has ended.
   *
   * @param ended the instance
   */
  public void forget(IncarnationId ended) {
    speeds.forget(ended);
  }
}
