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

/** Resolves the route of a request and authenticates its API key. */
final class RequestAuthorizer {

  private static final String FORWARDED_KEY_NAME = "forwarded";
  private static final String BEARER_PREFIX = "Bearer ";
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final CallerContext context;

  private RequestAuthorizer(CallerContext context) {
    this.context = context;
  }

  static RequestAuthorizer of(CallerContext context) {
    return new RequestAuthorizer(context);
  }

  Either<ErrorResponse, AuthorizedRequest> authorize(
      String method, String path, String authorization) {
    return resolveRoute(method, path)
        .flatMap(
            resolved ->
                checkKey(resolved.route(), resolved.service(), authorization)
                    .map(key -> key.map(resolved::withKey).orElse(resolved)));
  }

  /** Authorizes a call forwarded by another instance, by the digest of its key. */
  Either<ErrorResponse, AuthorizedRequest> authorizeForwarded(
      String method, String path, KeyDigest digest, AccountId account) {
    KeyIdentity identity = new KeyIdentity(account, FORWARDED_KEY_NAME, digest);
    return resolveRoute(method, path)
        .filterOrElse(
            resolved -> context.keyAuthenticator().isStillValid(identity),
            resolved -> ErrorResponse.notRun(ErrorCode.UNKNOWN_KEY, 0, "the key is not valid"))
        .map(resolved -> resolved.withKey(identity));
  }

  Either<ErrorResponse, KeyIdentity> authenticate(String authorization) {
    if (context.fleet().current().isEmpty()) {
      return reject(
          ErrorCode.NOT_READY, RETRY_AFTER_MILLIS, "no fleet document has been applied yet");
    }
    return context
        .keyAuthenticator()
        .authenticate(bearerKey(authorization).orElse(null))
        .mapLeft(refusal -> ErrorResponse.notRun(ErrorCode.UNKNOWN_KEY, 0, refusal.name()));
  }

  private Either<ErrorResponse, AuthorizedRequest> resolveRoute(String method, String path) {
    Optional<FleetSnapshot> snapshot = context.fleet().current();
    if (snapshot.isEmpty()) {
      return reject(
          ErrorCode.NOT_READY, RETRY_AFTER_MILLIS, "no fleet document has been applied yet");
    }
    FleetDocument document = snapshot.get().document();
    Optional<RouteSpec> route = document.route(method, path);
    if (route.isEmpty()) {
      return reject(ErrorCode.NO_ROUTE, 0, "no route matches this method and path");
    }
    ServiceSpec service = document.services().get(route.get().service());
    PoolSpec pool = document.pools().get(service.pool());
    return Either.right(new AuthorizedRequest(route.get(), service, pool, Optional.empty()));
  }

  private Either<ErrorResponse, Optional<KeyIdentity>> checkKey(
      RouteSpec route, ServiceSpec service, String authorization) {
    if (route.open()) {
      String presentedKey = bearerKey(authorization).orElse(null);
      return Either.right(context.keyAuthenticator().authenticate(presentedKey).toJavaOptional());
    }
    if (context.fleet().unconfirmedMillis() > service.unconfirmedKeyMillis()) {
      return reject(
          ErrorCode.KEY_UNCONFIRMED,
          RETRY_AFTER_MILLIS,
          "the valid keys have not been confirmed for too long");
    }
    return authenticate(authorization).map(Optional::of);
  }

  private static Optional<String> bearerKey(String authorization) {
    if (authorization == null
        || !authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
      return Optional.empty();
    }
    String key = authorization.substring(BEARER_PREFIX.length()).strip();
    return key.isEmpty() ? Optional.empty() : Optional.of(key);
  }

  private static <T> Either<ErrorResponse, T> reject(
      ErrorCode error, long retryAfterMillis, String message) {
    return Either.left(ErrorResponse.notRun(error, retryAfterMillis, message));
  }
}
