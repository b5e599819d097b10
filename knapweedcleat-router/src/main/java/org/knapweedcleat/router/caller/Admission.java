package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import java.util.Optional;
import org.knapweedcleat.core.attempt.CallerError;
import org.knapweedcleat.core.attempt.CallerFailure;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.router.gate.CheckedKey;

/** Decides whether a request has a route and a key that works. */
final class Admission {

  private static final String SCHEME = "Bearer ";
  private static final long RETRY_MILLIS = 1_000;

  private final CallerContext context;

  private Admission(CallerContext context) {
    this.context = context;
  }

  static Admission of(CallerContext context) {
    return new Admission(context);
  }

  Either<CallerFailure, Admitted> admit(String method, String path, String authorization) {
    Optional<FleetSnapshot> snapshot = context.fleet().current();
    if (snapshot.isEmpty()) {
      return refuse(CallerError.NOT_READY, RETRY_MILLIS, "no document is in force yet");
    }
    FleetDocument document = snapshot.get().document();
    Optional<RouteSpec> route = document.route(method, path);
    if (route.isEmpty()) {
      return refuse(CallerError.NO_ROUTE, 0, "no route for this method and path");
    }
    ServiceSpec service = document.services().get(route.get().service());
    return checkKey(route.get(), service, authorization)
        .map(key -> new Admitted(route.get(), service, document.pools().get(service.pool()), key));
  }

  Either<CallerFailure, CheckedKey> authenticate(String authorization) {
    if (context.fleet().current().isEmpty()) {
      return refuse(CallerError.NOT_READY, RETRY_MILLIS, "no document is in force yet");
    }
    return present(authorization)
        .flatMap(context.keys()::authenticate)
        .<Either<CallerFailure, CheckedKey>>map(Either::right)
        .orElseGet(() -> refuse(CallerError.UNKNOWN_KEY, 0, "no such key"));
  }

  private Either<CallerFailure, Optional<CheckedKey>> checkKey(
      RouteSpec route, ServiceSpec service, String authorization) {
    if (route.open()) {
      return Either.right(present(authorization).flatMap(context.keys()::authenticate));
    }
    if (context.fleet().unconfirmedMillis() > service.unconfirmedKeyMillis()) {
      return refuse(
          CallerError.KEY_UNCONFIRMED, RETRY_MILLIS, "keys were not confirmed for too long");
    }
    return authenticate(authorization).map(Optional::of);
  }

  private static Optional<String> present(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return Optional.empty();
    }
    String key = authorization.substring(SCHEME.length()).strip();
    return key.isEmpty() ? Optional.empty() : Optional.of(key);
  }

  private static <T> Either<CallerFailure, T> refuse(
      CallerError error, long retryAfterMillis, String message) {
    return Either.left(CallerFailure.notRun(error, retryAfterMillis, message));
  }
}
