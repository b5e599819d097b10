/** Distributed rate limiting of client accounts by leased shares of rate and burst. */
package org.knapweedcleat.core.limit;
