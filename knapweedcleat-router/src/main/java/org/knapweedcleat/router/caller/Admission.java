package org.knapweedcleat.router.caller;

import io.vavr.control.Either;
import java.util.Optional;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.account.KeyIdentity;
import org.knapweedcleat.core.attempt.ErrorCode;
import org.knapweedcleat.core.attempt.ErrorResponse;
import org.knapweedcleat.core.config.FleetDocument;
import org.knapweedcleat.core.config.FleetSnapshot;
import org.knapweedcleat.core.config.PoolSpec;
import org.knapweedcleat.core.config.RouteSpec;
import org.knapweedcleat.core.config.ServiceSpec;
import org.knapweedcleat.core.id.AccountId;

/** Decides whether a request has a route and a key that works. */
final class Admission {

  private static final String FORWARDED_NAME = "forwarded";
  private static final String SCHEME = "Bearer ";
  private static final long RETRY_MILLIS = 1_000;

  private final CallerContext context;

  private Admission(CallerContext context) {
    this.context = context;
  }

  static Admission of(CallerContext context) {
    return new Admission(context);
  }

  Either<ErrorResponse, Admitted> admit(String method, String path, String authorization) {
    return find(method, path)
        .flatMap(
            found ->
                checkKey(found.route(), found.service(), authorization)
                    .map(key -> key.map(found::with).orElse(found)));
  }

  /** Admits a call that another instance passed on, by the digest of the key that came with it. */
  Either<ErrorResponse, Admitted> admitForwarded(
      String method, String path, KeyDigest digest, AccountId account) {
    KeyIdentity identity = new KeyIdentity(account, FORWARDED_NAME, digest);
    return find(method, path)
        .filterOrElse(
            found -> context.keys().confirms(identity),
            found -> ErrorResponse.notRun(ErrorCode.UNKNOWN_KEY, 0, "no such key"))
        .map(found -> found.with(identity));
  }

  Either<ErrorResponse, KeyIdentity> authenticate(String authorization) {
    if (context.fleet().current().isEmpty()) {
      return refuse(ErrorCode.NOT_READY, RETRY_MILLIS, "no document is in force yet");
    }
    return context
        .keys()
        .authenticate(present(authorization).orElse(null))
        .mapLeft(refusal -> ErrorResponse.notRun(ErrorCode.UNKNOWN_KEY, 0, refusal.name()));
  }

  private Either<ErrorResponse, Admitted> find(String method, String path) {
    Optional<FleetSnapshot> snapshot = context.fleet().current();
    if (snapshot.isEmpty()) {
      return refuse(ErrorCode.NOT_READY, RETRY_MILLIS, "no document is in force yet");
    }
    FleetDocument document = snapshot.get().document();
    Optional<RouteSpec> route = document.route(method, path);
    if (route.isEmpty()) {
      return refuse(ErrorCode.NO_ROUTE, 0, "no route for this method and path");
    }
    ServiceSpec service = document.services().get(route.get().service());
    PoolSpec pool = document.pools().get(service.pool());
    return Either.right(new Admitted(route.get(), service, pool, Optional.empty()));
  }

  private Either<ErrorResponse, Optional<KeyIdentity>> checkKey(
      RouteSpec route, ServiceSpec service, String authorization) {
    if (route.open()) {
      String presented = present(authorization).orElse(null);
      return Either.right(context.keys().authenticate(presented).toJavaOptional());
    }
    if (context.fleet().unconfirmedMillis() > service.unconfirmedKeyMillis()) {
      return refuse(
          ErrorCode.KEY_UNCONFIRMED, RETRY_MILLIS, "keys were not confirmed for too long");
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

  private static <T> Either<ErrorResponse, T> refuse(
      ErrorCode error, long retryAfterMillis, String message) {
    return Either.left(ErrorResponse.notRun(error, retryAfterMillis, message));
  }
}
