/**
 * Sizes and prefix hashes of prompts, for reserving KV cache memory and finding cached prefixes.
 */
package org.knapweedcleat.core.transfer;
