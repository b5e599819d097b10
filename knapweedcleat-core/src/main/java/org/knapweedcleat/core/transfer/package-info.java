/** What a prompt's KV cache needs and which parts of it an endpoint may have already. */
package org.knapweedcleat.core.transfer;
