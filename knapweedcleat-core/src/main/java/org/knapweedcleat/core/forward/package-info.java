/** Tracks the attempts of forwarded calls and decides whether to retry, refuse or fail them. */
package org.knapweedcleat.core.forward;
