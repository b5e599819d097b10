package org.knapweedcleat.core.once;

import java.util.Arrays;
import java.util.Objects;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * A call forwarded to the incarnation that stores its outcome. It never contains an API key.
 *
 * @param ticket the ticket, empty if the call has an idempotency key
 * @param idempotencyKey the idempotency key, may be empty
 * @param account the client account of the presented API key
 * @param keyDigest the digest of that API key, so that the receiver can authenticate it
 * @param method the HTTP method
 * @param path the path
 * @param query the query, may be empty
 * @param contentType the content type, may be empty
 * @param body the body, which must not be modified
 * @param remainingMillis the remaining time until the caller's deadline
 */
public record ForwardedCall(
    String ticket,
    String idempotencyKey,
    AccountId account,
    KeyDigest keyDigest,
    String method,
    String path,
    String query,
    String contentType,
    byte[] body,
    long remainingMillis)
    implements PeerMessage {

  @Override
  public boolean equals(Object other) {
    return other instanceof ForwardedCall call
        && ticket.equals(call.ticket)
        && idempotencyKey.equals(call.idempotencyKey)
        && account.equals(call.account)
        && keyDigest.equals(call.keyDigest)
        && method.equals(call.method)
        && path.equals(call.path)
        && query.equals(call.query)
        && contentType.equals(call.contentType)
        && Arrays.equals(body, call.body)
        && remainingMillis == call.remainingMillis;
  }

  @Override
  public int hashCode() {
    return Objects.hash(
        ticket, idempotencyKey, account, method, path, query, Arrays.hashCode(body));
  }
}
