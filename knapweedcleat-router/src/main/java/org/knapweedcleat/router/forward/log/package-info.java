/** Logs each decision and state change, with a limit on the number of lines per second. */
package org.knapweedcleat.router.forward.log;
