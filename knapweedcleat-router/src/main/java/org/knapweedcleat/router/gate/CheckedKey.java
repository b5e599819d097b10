package org.knapweedcleat.router.gate;

import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;

/**
 * A key that was found to be declared.
 *
 * @param account the client account it stands for
 * @param keyName the key's name, which is not secret
 * @param digest the key's digest
 */
public record CheckedKey(AccountId account, String keyName, KeyDigest digest) {}
