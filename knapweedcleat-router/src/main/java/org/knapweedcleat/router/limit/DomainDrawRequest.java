package org.knapweedcleat.router.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Requests rate-limit tokens from another failure domain.
 *
 * @param account the client account
 * @param tokens the number of tokens, at least 1
 */
public record DomainDrawRequest(AccountId account, long tokens) implements PeerMessage {}
