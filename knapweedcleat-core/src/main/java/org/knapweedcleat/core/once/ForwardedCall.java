package org.knapweedcleat.core.once;

import java.util.Arrays;
import java.util.Objects;
import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * A caller's call on its way to the incarnation that remembers its outcome; never holds a key.
 *
 * @param ticket the ticket, empty when the call has a name
 * @param idempotencyKey the caller's name for the call, may be empty
 * @param account the client account whose key came with the call
 * @param keyDigest the digest of that key, so that the receiver can check it itself
 * @param method the HTTP method
 * @param path the path
 * @param query the query, may be empty
 * @param contentType the content type, may be empty
 * @param body the body, not to be changed
 * @param remainingMillis the time left until the caller's deadline
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
    return Objects.hash(ticket, idempotencyKey, account, method, path, query, Arrays.hashCode(body));
  }
}
