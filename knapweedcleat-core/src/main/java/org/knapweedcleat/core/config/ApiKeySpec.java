package org.knapweedcleat.core.config;

import org.knapweedcleat.core.account.KeyDigest;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of an API key, which is stored only as a digest.
 *
 * @param name the name of the key, which is not secret
 * @param account the client account that the key authenticates
 * @param digest the digest of the key
 * @param team the team that owns the section
 */
public record ApiKeySpec(String name, AccountId account, KeyDigest digest, TeamId team) {}
