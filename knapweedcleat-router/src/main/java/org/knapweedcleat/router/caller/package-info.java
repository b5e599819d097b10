/** The HTTP server for callers, and the execution of their requests. */
package org.knapweedcleat.router.caller;
