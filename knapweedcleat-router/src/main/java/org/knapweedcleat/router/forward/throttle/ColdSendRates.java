package org.knapweedcleat.router.forward.throttle;

import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointIncarnation;
import org.knapweedcleat.core.directory.ServiceProfile;
import org.knapweedcleat.core.throttle.ColdRatePolicy;
import org.knapweedcleat.router.forward.store.DirectoryCache;

/** The rates at which requests may be sent to cold endpoints, from what is published. */
public final class ColdSendRates {

  private final DirectoryCache directory;
  private final ColdRatePolicy policy;
  private final LongSupplier clock;

  private ColdSendRates(DirectoryCache directory, ColdRatePolicy policy, LongSupplier clock) {
    this.directory = directory;
    this.policy = policy;
    this.clock = clock;
  }

  /**
   * Returns the rates.
   *
   * @param directory the published services and endpoints
   * @param policy derives a rate from that of a service
   * @param clock supplies the monotonic time in milliseconds
   * @return the rates
   */
  public static ColdSendRates of(
      DirectoryCache directory, ColdRatePolicy policy, LongSupplier clock) {
    return new ColdSendRates(directory, policy, clock);
  }

  /**
   * Returns whether an endpoint is cold and has a limit for that.
   *
   * @param endpoint the endpoint
   * @return false if it is warm, or its service has no limit for cold endpoints
   */
  public boolean isLimited(EndpointEntry endpoint) {
    return requestsPerSecond(EndpointIncarnation.of(endpoint)).isPresent();
  }

  /**
   * Returns the rate of a cold endpoint.
   *
   * @param endpoint the endpoint
   * @return requests per second of all instances together; empty if the endpoint is warm or
   *     unknown, or its service has no limit for cold endpoints
   */
  public OptionalDouble requestsPerSecond(EndpointIncarnation endpoint) {
    if (!directory.eligibility().coldEndpoints().isCold(clock.getAsLong(), endpoint)) {
      return OptionalDouble.empty();
    }
    return directory
        .endpoints()
        .find(endpoint.id())
        .flatMap(entry -> directory.findService(entry.service()))
        .map(ServiceProfile::coldPerSecond)
        .map(policy::requestsPerSecond)
        .orElse(OptionalDouble.empty());
  }
}
