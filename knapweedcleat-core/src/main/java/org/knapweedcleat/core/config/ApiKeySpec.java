package org.knapweedcleat.core.config;

import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A key as declared, by its digest alone.
 *
 * @param name the key's name, which is not secret
 * @param account the client account that the key stands for
 * @param digest the digest of the key
 * @param team the team that owns the section
 */
public record ApiKeySpec(String name, AccountId account, KeyDigest digest, TeamId team) {}
