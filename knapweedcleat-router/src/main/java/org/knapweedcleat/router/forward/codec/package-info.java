/** What an adapter translates: calls of callers, calls to endpoints and what is published. */
package org.knapweedcleat.router.forward.codec;
