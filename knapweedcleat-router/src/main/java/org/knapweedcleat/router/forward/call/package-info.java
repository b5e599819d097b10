/** Carries a call from its caller to an endpoint and the answer back. */
package org.knapweedcleat.router.forward.call;
