/** Forwards calls from callers to endpoints and returns the responses. */
package org.knapweedcleat.router.forward.call;
