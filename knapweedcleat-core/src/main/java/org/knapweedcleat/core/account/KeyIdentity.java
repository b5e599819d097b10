package org.knapweedcleat.core.account;

import org.knapweedcleat.core.id.AccountId;

/**
 * The client account that an API key authenticates. Does not contain the key itself.
 *
 * @param account the client account
 * @param keyName the key's name, which is not secret
 * @param digest the key's digest
 */
public record KeyIdentity(AccountId account, String keyName, KeyDigest digest) {}
