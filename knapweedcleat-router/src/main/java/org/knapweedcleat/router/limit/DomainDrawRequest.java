package org.knapweedcleat.router.limit;

import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.message.PeerMessage;

/**
 * Draws tokens in another failure domain.
 *
 * @param account the client account
 * @param tokens how many, at least 1
 */
public record DomainDrawRequest(AccountId account, long tokens) implements PeerMessage {}
