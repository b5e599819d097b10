/** Serves callers over HTTP. */
package org.knapweedcleat.router.caller;
